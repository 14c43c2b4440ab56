"""`python -m rackhub.trials.scale.overhead`: what distribution costs a real coordinator that serves requests.

A coordinator that watches relays, while a voter takes edits at a multiple of the target's pace, is compared to one
without `[fleet]` and to one with `[fleet]` but without a role. In each round all have processes of their own, started
for it, and get the same requests one after the other; the order turns around from round to round.
"""

import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec
from docopt import docopt

from rackhub.trials.scale.overhead_fleet import OverheadFleet
from rackhub.trials.scale.overhead_result import BASELINES, OverheadResult, Round, Way, lines, summarize

USAGE = """Requests served for each CPU second of one real coordinator, with distribution against without.

Usage:
  overhead [options]

Options:
  --json         print the result as one JSON object
  --seconds=S    measured in each window [default: 8]
  --warm-up=S    before it, under the same traffic [default: 1.5]
  --rounds=R     each with one window for each way [default: 4]
  --rate=N       requests a second [default: 200]
  --edits=E      at the voter, as a multiple of the target's pace [default: 10]
  --seed=X       [default: 1]
  --baseline=B   plain (no [fleet]), members ([fleet] without a role) or both [default: both]
  --write=NAME   write it to docs/capacity/NAME.json, too

Exit status: 0 passed, 1 not, 2 bad usage.
"""

FOLDER = Path("docs/capacity")
BAD_INPUT = 2
BOTH = "both"


class BadOption(Exception):
    """An option that can't be used; the text names it."""


class OverheadSettings(msgspec.Struct, frozen=True, kw_only=True):
    """The options of one measurement."""

    seconds: float = 8.0
    warm_up: float = 1.5
    rounds: int = 4
    rate: float = 200.0
    edits: float = 10.0
    seed: int = 1
    baselines: tuple[Way, ...] = BASELINES
    json: bool = False
    write: str = ""


def parse(argv: list[str]) -> OverheadSettings:
    """Raises `BadOption`; docopt ends the process where an option is not known."""
    words = docopt(USAGE, argv)
    settings = OverheadSettings(
        seconds=_number(words, "--seconds", float, 0.5),
        warm_up=_number(words, "--warm-up", float, 0.0),
        rounds=_number(words, "--rounds", int, 1),
        rate=_number(words, "--rate", float, 1.0),
        edits=_number(words, "--edits", float, 0.0),
        seed=_number(words, "--seed", int, 0),
        baselines=_baselines(words["--baseline"]),
        json=words["--json"],
        write=words["--write"] or "",
    )
    if settings.write and not settings.write.replace("-", "").isalnum():
        raise BadOption(f"--write: {settings.write!r} is not letters, digits and dashes")
    return settings


def _baselines(word: str) -> tuple[Way, ...]:
    if word == BOTH:
        return BASELINES
    found = tuple(way for way in BASELINES if way.value == word)
    if not found:
        raise BadOption(f"--baseline: {word!r} is none of plain, members, both")
    return found


def _number(words: dict[str, Any], option: str, kind: Callable[[str], float], least: float) -> Any:
    try:
        number = kind(words[option])
    except ValueError:
        raise BadOption(f"{option}: {words[option]!r} is not a number") from None
    if not least <= number < float("inf"):
        raise BadOption(f"{option}: {number} is less than {least}, or endless")
    return number


def round_order(baselines: tuple[Way, ...], number: int) -> tuple[Way, ...]:
    """The ways of that round, in the order in which they are measured."""
    ways = (*baselines, Way.DISTRIBUTION)
    return ways if number % 2 == 0 else ways[::-1]


def round_seed(seed: int, number: int) -> int:
    """Of all fleets of that round: they get the same requests."""
    return seed * 1_000 + number


def run_round(settings: OverheadSettings, number: int, reactor: Any) -> Round:
    """All processes of the round run the whole time; those that are not measured are idle."""
    seed = round_seed(settings.seed, number)
    fleets: list[OverheadFleet] = []
    try:
        for way in round_order(settings.baselines, number):
            fleets.append(OverheadFleet(way, seed, reactor))
            fleets[-1].start()
        for fleet in fleets:
            fleet.wait_settled()
        return _measure_round(fleets, settings)
    finally:
        for fleet in fleets:
            fleet.close()


def _measure_round(fleets: list[OverheadFleet], settings: OverheadSettings) -> Round:
    distribution = next(fleet for fleet in fleets if fleet.way is Way.DISTRIBUTION)
    begin = distribution.mail()
    windows = [fleet.measure(settings.rate, settings.warm_up, settings.seconds, settings.edits) for fleet in fleets]
    with_edits = next(window.mail for window in windows if window.way is Way.DISTRIBUTION)
    return Round(tuple(windows), distribution.mail() - begin - with_edits)


def run(settings: OverheadSettings, told: Callable[[Round], None] = lambda one: None) -> OverheadResult:
    from twisted.internet import reactor

    rounds = []
    for number in range(settings.rounds):
        rounds.append(run_round(settings, number, reactor))
        told(rounds[-1])
    return summarize(rounds, settings.seed, settings.rate, settings.edits)


def write(result: OverheadResult, name: str) -> None:
    FOLDER.mkdir(parents=True, exist_ok=True)
    text = msgspec.json.format(msgspec.json.encode(result), indent=2)
    (FOLDER / f"{name}.json").write_bytes(text + b"\n")


def main(argv: list[str]) -> int:
    """0: passed; 1: not; 2: it can't be run."""
    try:
        settings = parse(argv)
    except BadOption as bad:
        print(f"overhead: {bad}", file=sys.stderr)
        return BAD_INPUT
    result = run(settings)
    print(msgspec.json.encode(result).decode() if settings.json else "\n".join(lines(result)))
    if settings.write:
        write(result, settings.write)
    return 0 if result.passed else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))

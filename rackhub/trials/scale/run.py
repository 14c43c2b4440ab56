"""`python -m rackhub.trials.scale run`: one case at one size, in real or in virtual time."""

import sys
from pathlib import Path

import msgspec

from rackhub.trials.scale.processes import ProcessFailed
from rackhub.trials.scale.result import Result, lines
from rackhub.trials.scale.settings import BadSettings, RunSettings, parse
from rackhub.trials.scale.sizes import TooLarge, refuse_too_large

RUNS = Path("docs/capacity/runs")
FAILED, BAD_INPUT = 1, 2


def main(argv: list[str]) -> int:
    """0: the case passed; 1: it did not; 2: it can't be run."""
    try:
        settings = parse(argv)
        refuse_too_large(settings)
        result = run(settings)
    except (BadSettings, TooLarge) as bad:
        print(f"scale run: {bad}", file=sys.stderr)
        return BAD_INPUT
    except ProcessFailed as failed:
        print(f"scale run: {failed}", file=sys.stderr)
        return FAILED
    if settings.json:
        print(msgspec.json.encode(result).decode())
    else:
        print("\n".join(lines(result)))
    if settings.write:
        write(result, settings.write)
    return 0 if result.passed else FAILED


def run(settings: RunSettings) -> Result:
    """Both kinds are imported only where they are used."""
    if settings.virtual:
        from rackhub.trials.scale.virtual import VirtualRun

        return VirtualRun(settings).run()
    from rackhub.trials.scale.real import real_run

    return real_run(settings)


def write(result: Result, name: str) -> None:
    RUNS.mkdir(parents=True, exist_ok=True)
    text = msgspec.json.format(msgspec.json.encode(result), indent=2)
    (RUNS / f"{name}.json").write_bytes(text + b"\n")

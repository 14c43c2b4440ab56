"""What one scale run is asked to do, read from its command line and checked."""

from typing import Any

import msgspec
from docopt import docopt

USAGE = """Distribution of configuration to hollow coordinators, in real or in virtual time.

A hollow coordinator is the real watcher, link and members' core without requests. In real time they are many to a
process, beside relays and voters in processes of their own, on 127.0.0.1; in virtual time all is in one process.

Usage:
  run [options]

Options:
  --case=NAME        quiet, pace, tenfold, relay-killed-sending, zone-relays-gone, relay-stalled, zone-cut,
                     regions-apart, zone-restart, restarts, slow-reader or compacted [default: pace]
  --coordinators=N   hollow coordinators [default: 20]
  --zones=Z          zones, in up to seven regions [default: 2]
  --relays=R         relays, two for each zone where not given
  --processes=P      processes of hollow coordinators [default: 2]
  --real=K           real coordinators under light traffic, and as many beside them
                     without distribution, to compare [default: 0]
  --minutes=M        of changes; a case that needs longer takes longer [default: 1]
  --rate=X           changes, as a multiple of the target's pace, in place of the case's
  --seed=S           [default: 1]
  --virtual          the same cores on a simulated network in virtual time
  --settle=SECONDS   in real time, between the start and the first change [default: 15]
  --no-members       hollow coordinators without the members' core
  --json             print the result as one JSON object
  --write=NAME       write it to docs/capacity/runs/NAME.json, too
"""

CHANGES_A_DAY = 14_000  # the target's pace of changes
RESTARTS_A_DAY = 8_700
DAY_SECONDS = 86_400
IN_FORCE_SECONDS = 16.0  # until a change is in force everywhere
BYTES_A_SECOND = 3_000.0  # of control, each coordinator
CPU_PERCENT = 2.2  # of a core
MEMORY_MEGABYTES = 64.0

VOTERS = 5
REGIONS = 7
RELAYS_A_ZONE = 2


class BadSettings(Exception):
    """An option that can't be used; the text names it."""


class RunSettings(msgspec.Struct, frozen=True, kw_only=True):
    """The options of one run."""

    case: str = "pace"
    coordinators: int = 20
    zones: int = 2
    relays: int = 4
    processes: int = 2
    real: int = 0
    minutes: float = 1.0
    rate: float | None = None
    seed: int = 1
    virtual: bool = False
    settle: float = 15.0
    members: bool = True
    json: bool = False
    write: str = ""


def parse(argv: list[str]) -> RunSettings:
    """Raises `BadSettings`; docopt ends the process where an option is not known."""
    words = docopt(USAGE, argv)
    zones = _number(words, "--zones", int, 1)
    settings = RunSettings(
        case=words["--case"],
        coordinators=_number(words, "--coordinators", int, 1),
        zones=zones,
        relays=_number(words, "--relays", int, zones) if words["--relays"] else zones * RELAYS_A_ZONE,
        processes=_number(words, "--processes", int, 1),
        real=_number(words, "--real", int, 0),
        minutes=_number(words, "--minutes", float, 0.01),
        rate=_number(words, "--rate", float, 0.0) if words["--rate"] else None,
        seed=_number(words, "--seed", int, 0),
        virtual=words["--virtual"],
        settle=_number(words, "--settle", float, 0.0),
        members=not words["--no-members"],
        json=words["--json"],
        write=words["--write"] or "",
    )
    if settings.coordinators < settings.zones:
        raise BadSettings(f"--coordinators: {settings.coordinators} are fewer than the {settings.zones} zones")
    if settings.write and not settings.write.replace("-", "").isalnum():
        raise BadSettings(f"--write: {settings.write!r} is not letters, digits and dashes")
    return settings


def _number(words: dict[str, Any], option: str, kind: Any, least: float) -> Any:
    try:
        number = kind(words[option])
    except ValueError:
        raise BadSettings(f"{option}: {words[option]!r} is not a number") from None
    if not least <= number < float("inf"):
        raise BadSettings(f"{option}: {number} is less than {least}, or endless")
    return number

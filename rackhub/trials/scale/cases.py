"""The named cases of a scale run: the pace of changes, and the faults with their times.

Times are seconds from the first change on. A case that needs longer than it is given takes longer.
"""

import random
from collections.abc import Callable

import msgspec

from rackhub.fleet.distribution.limits import Limits
from rackhub.trials.scale.layout import Layout
from rackhub.trials.scale.settings import DAY_SECONDS, RESTARTS_A_DAY, BadSettings, RunSettings

FAULT_AT = 5.0  # the first fault of a case
STALL_SECONDS = 30.0
CUT_SECONDS = 60.0
COMPACTED_CUT_SECONDS = 40.0
COMPACTED_HISTORY = 16  # changes kept in that case
AFTER_FAULT = 10.0  # seconds of changes after the last fault is over
RESTART_WITHIN = 2.0  # for all coordinators of a zone
DOWN_SECONDS = 1.0  # of a coordinator that restarts
SLOW_SHARE, SLOW_DISK_SECONDS = 0.05, 2.0  # of coordinators, and how long each of their writes takes


class KillRelays(msgspec.Struct, frozen=True):
    """These relays end without a word, and don't come back. `sending`: just after an edit is acknowledged."""

    at: float
    relays: tuple[str, ...]
    sending: bool = False


class StallRelay(msgspec.Struct, frozen=True):
    """The relay stands still and wakes with what it had, and with what the socket kept for it."""

    at: float
    relay: str
    seconds: float


class Cut(msgspec.Struct, frozen=True):
    """No datagram passes between these zones and all others."""

    at: float
    zones: tuple[str, ...]
    seconds: float


class Restart(msgspec.Struct, frozen=True):
    """A coordinator's process ends, and begins anew with what its disk has."""

    at: float
    coordinator: str
    down: float = DOWN_SECONDS


Action = KillRelays | StallRelay | Cut | Restart


class Plan(msgspec.Struct, frozen=True, kw_only=True):
    """One case at one size. `slow`: coordinators whose disk takes `SLOW_DISK_SECONDS`. `rate`: of changes, as a
    multiple of the target's pace."""

    rate: float
    seconds: float
    actions: tuple[Action, ...] = ()
    slow: frozenset[str] = frozenset()
    limits: Limits = Limits()

    @property
    def steady(self) -> bool:
        """Whether nothing but changes happens."""
        return not self.actions and not self.slow


class Context(msgspec.Struct, frozen=True):
    """What a case is made from."""

    layout: Layout
    seconds: float
    random: random.Random

    @property
    def last_zone(self) -> str:
        """The zone of faults: where there are more than voters, no voter is there."""
        return list(self.layout.regions)[-1]


def _quiet(context: Context) -> Plan:
    return Plan(rate=0.0, seconds=context.seconds)


def _pace(context: Context) -> Plan:
    return Plan(rate=1.0, seconds=context.seconds)


def _tenfold(context: Context) -> Plan:
    return Plan(rate=10.0, seconds=context.seconds)


def _relay_killed_sending(context: Context) -> Plan:
    relay = context.layout.relays_of(context.last_zone)[0]
    return _with_faults(context, KillRelays(FAULT_AT, (relay,), sending=True))


def _zone_relays_gone(context: Context) -> Plan:
    relays = tuple(context.layout.relays_of(context.last_zone))
    return _with_faults(context, KillRelays(FAULT_AT, relays))


def _relay_stalled(context: Context) -> Plan:
    relay = context.layout.relays_of(context.last_zone)[0]
    return _with_faults(context, StallRelay(FAULT_AT, relay, STALL_SECONDS))


def _zone_cut(context: Context) -> Plan:
    return _with_faults(context, Cut(FAULT_AT, (context.last_zone,), CUT_SECONDS))


def _regions_apart(context: Context) -> Plan:
    """Voters are dealt to regions in turn, three of five to the first half: they go on deciding, the editor's side."""
    regions = sorted(set(context.layout.regions.values()))
    apart = set(regions[len(regions) // 2 :]) if len(regions) > 1 else set()
    return _with_faults(context, Cut(FAULT_AT, tuple(context.layout.zones_in(apart)), CUT_SECONDS))


def _zone_restart(context: Context) -> Plan:
    names = context.layout.of_zone(context.last_zone)
    actions = [Restart(FAULT_AT + context.random.uniform(0, RESTART_WITHIN), name) for name in names]
    return _with_faults(context, *actions)


def _restarts(context: Context) -> Plan:
    names = [place.name for place in context.layout.coordinators]
    spacing, at, actions = DAY_SECONDS / RESTARTS_A_DAY, 0.0, []
    while at + spacing < context.seconds:
        at += spacing
        actions.append(Restart(at, context.random.choice(names)))
    return _with_faults(context, *actions)


def _slow_reader(context: Context) -> Plan:
    names = [place.name for place in context.layout.coordinators]
    slow = context.random.sample(names, max(1, round(SLOW_SHARE * len(names))))
    return Plan(rate=10.0, seconds=context.seconds, slow=frozenset(slow))


def _compacted(context: Context) -> Plan:
    plan = _with_faults(context, Cut(FAULT_AT, (context.last_zone,), COMPACTED_CUT_SECONDS))
    return msgspec.structs.replace(plan, limits=Limits(max_log_steps=COMPACTED_HISTORY))


def _with_faults(context: Context, *actions: Action) -> Plan:
    """Changes at ten times the pace, until a while after the last fault."""
    ends = [action.at + getattr(action, "seconds", 0.0) for action in actions]
    seconds = max([context.seconds, *(end + AFTER_FAULT for end in ends)])
    return Plan(rate=10.0, seconds=seconds, actions=tuple(sorted(actions, key=lambda action: action.at)))


CASES: dict[str, Callable[[Context], Plan]] = {
    "quiet": _quiet,
    "pace": _pace,
    "tenfold": _tenfold,
    "relay-killed-sending": _relay_killed_sending,
    "zone-relays-gone": _zone_relays_gone,
    "relay-stalled": _relay_stalled,
    "zone-cut": _zone_cut,
    "regions-apart": _regions_apart,
    "zone-restart": _zone_restart,
    "restarts": _restarts,
    "slow-reader": _slow_reader,
    "compacted": _compacted,
}


def plan(settings: RunSettings, layout: Layout) -> Plan:
    """Raises `BadSettings` for a case that is not known."""
    make = CASES.get(settings.case)
    if make is None:
        raise BadSettings(f"--case: {settings.case!r} is none of {', '.join(CASES)}")
    chance = random.Random(f"{settings.seed}/case/{settings.case}")
    made = make(Context(layout, settings.minutes * 60, chance))
    return made if settings.rate is None else msgspec.structs.replace(made, rate=settings.rate)

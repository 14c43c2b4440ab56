"""Whether each acknowledged change came into force wherever it should, and how long that took."""

from collections.abc import Iterable, Mapping, Sequence

import msgspec

from rackhub.fleet.distribution.events import StoredState
from rackhub.fleet.distribution.messages import Change
from rackhub.trials.scale.layout import scope_of
from rackhub.trials.scale.trace import Outage, Trace, digest

SECOND = 1_000_000


class Acknowledged(msgspec.Struct, frozen=True):
    """A change that the editor was told is decided, and when: microseconds of the run's clock."""

    at: int
    change: Change


class Spread(msgspec.Struct, frozen=True):
    """Percentiles in seconds over `count` samples."""

    count: int = 0
    p50: float = 0.0
    p99: float = 0.0
    worst: float = 0.0


class Verdict(msgspec.Struct, frozen=True, kw_only=True):
    """`lost`: pairs of a change and a coordinator in whose scope it is, where it never came into force.
    `everywhere`: of each change, until its last coordinator had it; `each`: of each coordinator and change. Where a
    coordinator was down or cut off, it counts from when it no longer was; `after_outage` are those alone."""

    changes: int
    coordinators: int
    lost: int
    revisions_back: int
    out_of_scope: int
    content_differs: int
    everywhere: Spread
    each: Spread
    after_outage: Spread
    lost_at: tuple[str, ...] = ()

    @property
    def faultless(self) -> bool:
        return not (self.lost or self.revisions_back or self.out_of_scope or self.content_differs)


def spread(samples: Iterable[float]) -> Spread:
    ordered = sorted(samples)
    if not ordered:
        return Spread()
    last = len(ordered) - 1
    p50, p99 = ordered[round(0.5 * last)], ordered[round(0.99 * last)]
    return Spread(len(ordered), round(p50, 3), round(p99, 3), round(ordered[-1], 3))


def audit(
    content: Mapping[str, str],
    changes: Sequence[Acknowledged],
    traces: Sequence[Trace],
    outages: dict[str, list[Outage]],
) -> Verdict:
    """`content`: the digest of what each zone's coordinators should have in force at the end. `changes` in the order
    of their revisions. `outages`: by coordinator."""
    samples: list[float] = []
    after_outage: list[float] = []
    everywhere = [0.0] * len(changes)
    lost, lost_at, differing = 0, set(), 0
    wanted = {zone: _in_scope(changes, scope_of(zone)) for zone in content}
    for trace in traces:
        if trace.digest != content[trace.zone]:
            differing += 1
        position = 0
        for index in wanted[trace.zone]:
            acknowledged = changes[index]
            while position < len(trace.applied) and trace.applied[position][1] < acknowledged.change.revision:
                position += 1
            if position == len(trace.applied):
                lost += 1
                lost_at.add(trace.name)
                continue
            in_force = trace.applied[position][0]
            start = _counted_from(acknowledged.at, in_force, outages.get(trace.name, []))
            took = max(0.0, (in_force - start) / SECOND)
            samples.append(took)
            if start != acknowledged.at:
                after_outage.append(took)
            everywhere[index] = max(everywhere[index], took)
    return Verdict(
        changes=len(changes),
        coordinators=len(traces),
        lost=lost,
        revisions_back=sum(trace.revisions_back for trace in traces),
        out_of_scope=sum(trace.out_of_scope for trace in traces),
        content_differs=differing,
        everywhere=spread(everywhere),
        each=spread(samples),
        after_outage=spread(after_outage),
        lost_at=tuple(sorted(lost_at)[:5]),
    )


def _counted_from(acknowledged: int, in_force: int, outages: list[Outage]) -> int:
    """The end of the last outage between the two, or the acknowledgement."""
    start = acknowledged
    for outage in outages:
        if outage.end > acknowledged and outage.start <= in_force:
            start = max(start, outage.end)
    return start


def _in_scope(changes: Sequence[Acknowledged], scope: tuple[str, ...]) -> list[int]:
    return [
        index
        for index, acknowledged in enumerate(changes)
        if any(entry.key.startswith(scope) for entry in acknowledged.change.entries)
    ]


def newest_in_scope(changes: Sequence[Acknowledged], scope: tuple[str, ...]) -> int:
    """The revision of the last change of a key in that scope; 0: there was none."""
    return max((changes[index].change.revision for index in _in_scope(changes, scope)), default=0)


def content_after(initial: StoredState, changes: Sequence[Acknowledged], zones: Iterable[str]) -> dict[str, str]:
    """The digest of what each zone's coordinators should have in force after just these changes."""
    entries = dict(initial.entries)
    for acknowledged in changes:
        for entry in acknowledged.change.entries:
            if entry.value is None:
                entries.pop(entry.key, None)
            else:
                entries[entry.key] = entry
    scopes = {zone: scope_of(zone) for zone in zones}
    return {
        zone: digest(entry for entry in entries.values() if entry.key.startswith(scope))
        for zone, scope in scopes.items()
    }

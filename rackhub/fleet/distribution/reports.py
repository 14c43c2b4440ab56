"""The relays' reports at a voter, and what they say of the whole fleet."""

import msgspec

from rackhub.fleet.distribution.checks import RelaysByZone
from rackhub.fleet.distribution.limits import MILLISECOND, SECOND, WORST, Limits
from rackhub.fleet.distribution.messages import LaggingWatcher, LogId, Name, Report, Revision
from rackhub.fleet.distribution.ports import FleetStatus

FORGOTTEN_AFTER = 3_600 * SECOND  # without a report a relay no longer counts, neither do its zone's coordinators
MOST_RELAYS = 512  # whose reports are kept


class _Kept(msgspec.Struct, frozen=True):
    report: Report
    received_at: int


class Reports:
    """The newest report of each relay."""

    def __init__(self, limits: Limits) -> None:
        self._limits = limits
        self._kept: dict[Name, _Kept] = {}

    def keep(self, now: int, relay: Name, report: Report) -> bool:
        """False: there are too many relays already."""
        if relay not in self._kept and len(self._kept) >= MOST_RELAYS:
            self._forget(now)
            if len(self._kept) >= MOST_RELAYS:
                return False
        self._kept[relay] = _Kept(report, now)
        return True

    def relays(self, now: int) -> RelaysByZone:
        """Those that report, by zone, those with watchers first. A zone whose relays have fallen silent has none."""
        self._forget(now)
        zones: dict[str, list[tuple[bool, Name]]] = {}
        for name, kept in self._kept.items():
            found = zones.setdefault(kept.report.zone, [])
            if self._is_fresh(now, kept):
                found.append((kept.report.watchers == 0, name))
        return {zone: tuple(name for _, name in sorted(found)) for zone, found in sorted(zones.items())}

    def status(self, now: int, log: LogId, revision: Revision, decided_at: int) -> FleetStatus:
        """What holds of `revision`. Who is not known to have it lags. `decided_at`: when it was first known here."""
        self._forget(now)
        fresh = [kept for kept in self._kept.values() if self._is_fresh(now, kept)]
        in_force = sum(_in_force(kept.report, log, revision) for kept in fresh)
        expected = max(self._members(now), sum(kept.report.watchers for kept in fresh))
        behind = [lagging for kept in fresh for lagging in self._behind(now, kept, revision)]
        behind.sort(key=lambda lagging: (-lagging.behind, lagging.name))
        lagging = expected - in_force
        oldest = behind[0].behind if behind else 0
        if lagging > len(behind):  # some that nobody names: since the change was decided, for all that is known
            oldest = max(oldest, (now - decided_at) // MILLISECOND)
        faults = sum(kept.report.fault_count for kept in fresh)
        return FleetStatus(revision, in_force, expected, lagging, oldest, tuple(behind[:WORST]), faults)

    def _members(self, now: int) -> int:
        """Coordinators of all zones; of a zone that is silent as many as it last had."""
        fresh: dict[str, int] = {}
        last: dict[str, tuple[int, int]] = {}
        for kept in self._kept.values():
            zone, members = kept.report.zone, kept.report.members
            last[zone] = max(last.get(zone, (0, 0)), (kept.received_at, members))
            if self._is_fresh(now, kept):
                fresh[zone] = max(fresh.get(zone, 0), members)
        return sum(fresh.get(zone, members) for zone, (_, members) in last.items())

    def _behind(self, now: int, kept: _Kept, revision: Revision) -> list[LaggingWatcher]:
        age = (now - kept.received_at) // MILLISECOND
        return [
            LaggingWatcher(lagging.name, lagging.revision, lagging.behind + age)
            for lagging in kept.report.worst
            if lagging.revision < revision
        ]

    def _is_fresh(self, now: int, kept: _Kept) -> bool:
        return now - kept.received_at <= self._limits.max_report_age

    def _forget(self, now: int) -> None:
        gone = [name for name, kept in self._kept.items() if now - kept.received_at > FORGOTTEN_AFTER]
        for name in gone:
            del self._kept[name]


def _in_force(report: Report, log: LogId, revision: Revision) -> int:
    if report.log != log:
        return 0
    return sum(count.watchers for count in report.in_force if count.revision >= revision)

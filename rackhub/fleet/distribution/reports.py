"""The relays' reports at a voter, and the status of the whole fleet that follows from them."""

import msgspec

from rackhub.fleet.distribution.checks import RelaysByZone
from rackhub.fleet.distribution.limits import MAX_LAGGING_NAMED, MILLISECOND, SECOND, Limits
from rackhub.fleet.distribution.messages import LaggingWatcher, LogId, Name, Report, Revision
from rackhub.fleet.distribution.ports import FleetStatus

# A relay without a report for this long is forgotten, and the coordinators of its zone with it.
REPORT_RETENTION = 3_600 * SECOND
MAX_RELAYS = 512  # number of relays whose reports are kept


class _ReceivedReport(msgspec.Struct, frozen=True):
    report: Report
    received_at: int


class ReportStore:
    """Keeps the newest report of each relay."""

    def __init__(self, limits: Limits) -> None:
        self._limits = limits
        self._reports: dict[Name, _ReceivedReport] = {}

    def store(self, now: int, relay: Name, report: Report) -> bool:
        """Store a report. Return False if there are too many relays."""
        if relay not in self._reports and len(self._reports) >= MAX_RELAYS:
            self._drop_expired(now)
            if len(self._reports) >= MAX_RELAYS:
                return False
        self._reports[relay] = _ReceivedReport(report, now)
        return True

    def relays(self, now: int) -> RelaysByZone:
        """Return the relays with a recent report by zone, those with watchers first.

        A zone whose relays no longer report has an empty tuple.
        """
        self._drop_expired(now)
        zones: dict[str, list[tuple[bool, Name]]] = {}
        for name, received in self._reports.items():
            found = zones.setdefault(received.report.zone, [])
            if self._is_fresh(now, received):
                found.append((received.report.watchers == 0, name))
        return {zone: tuple(name for _, name in sorted(found)) for zone, found in sorted(zones.items())}

    def status(self, now: int, log: LogId, revision: Revision, decided_at: int) -> FleetStatus:
        """Return the status of a revision, which was first known here at `decided_at`.

        Coordinators that are not known to have applied it count as lagging.
        """
        self._drop_expired(now)
        fresh = [received for received in self._reports.values() if self._is_fresh(now, received)]
        in_force = sum(_count_applied(received.report, log, revision) for received in fresh)
        expected = max(self._members(now), sum(received.report.watchers for received in fresh))
        behind = [lagging for received in fresh for lagging in self._behind(now, received, revision)]
        behind.sort(key=lambda lagging: (-lagging.behind, lagging.name))
        lagging = expected - in_force
        oldest_lag_ms = behind[0].behind if behind else 0
        if lagging > len(behind):  # Some are in no report; they may lag since the decision.
            oldest_lag_ms = max(oldest_lag_ms, (now - decided_at) // MILLISECOND)
        faults = sum(received.report.fault_count for received in fresh)
        return FleetStatus(
            revision, in_force, expected, lagging, oldest_lag_ms, tuple(behind[:MAX_LAGGING_NAMED]), faults
        )

    def _members(self, now: int) -> int:
        """Return the number of coordinators of all zones. A zone without recent reports counts with its last number."""
        fresh: dict[str, int] = {}
        last: dict[str, tuple[int, int]] = {}
        for received in self._reports.values():
            zone, members = received.report.zone, received.report.members
            last[zone] = max(last.get(zone, (0, 0)), (received.received_at, members))
            if self._is_fresh(now, received):
                fresh[zone] = max(fresh.get(zone, 0), members)
        return sum(fresh.get(zone, members) for zone, (_, members) in last.items())

    def _behind(self, now: int, received: _ReceivedReport, revision: Revision) -> list[LaggingWatcher]:
        age = (now - received.received_at) // MILLISECOND
        return [
            LaggingWatcher(lagging.name, lagging.revision, lagging.behind + age)
            for lagging in received.report.most_lagging
            if lagging.revision < revision
        ]

    def _is_fresh(self, now: int, received: _ReceivedReport) -> bool:
        return now - received.received_at <= self._limits.max_report_age

    def _drop_expired(self, now: int) -> None:
        expired = [name for name, received in self._reports.items() if now - received.received_at > REPORT_RETENTION]
        for name in expired:
            del self._reports[name]


def _count_applied(report: Report, log: LogId, revision: Revision) -> int:
    if report.log != log:
        return 0
    return sum(count.watchers for count in report.in_force if count.revision >= revision)

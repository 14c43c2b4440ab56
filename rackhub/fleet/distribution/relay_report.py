"""Builds a relay's report about its watchers: counts by applied revision, lagging watchers and rejected keys."""

from collections import Counter
from collections.abc import Iterable

from rackhub.fleet.distribution.limits import MAX_FAULT_KEYS, MAX_LAGGING_NAMED, MILLISECOND, Limits
from rackhub.fleet.distribution.messages import KeyFault, LaggingWatcher, LogId, Report, Revision, RevisionCount
from rackhub.fleet.distribution.schedule import NEVER
from rackhub.fleet.distribution.session import Session

MAX_COUNTS = 16  # number of different revisions in one report


def build_report(
    sessions: Iterable[Session], zone: str, log: LogId, revision: Revision, members: int, now: int, limits: Limits
) -> Report:
    """Return the report of a relay at `revision` with these sessions."""
    counts: Counter[Revision] = Counter()
    behind: list[LaggingWatcher] = []
    faults: dict[str, KeyFault] = {}
    watchers = fault_count = 0
    for session in sessions:
        watchers += 1
        in_force = session.effective_revision(revision, now, limits)
        counts[in_force] += 1
        if in_force < revision:
            behind.append(LaggingWatcher(session.name, in_force, _behind(session, now)))
        if session.faults:
            fault_count += 1
            faults.update((fault.key, fault) for fault in session.faults)
    behind.sort(key=lambda lagging: (-lagging.behind, lagging.name))
    named_faults = tuple(faults.values())[:MAX_FAULT_KEYS]
    in_force_counts = _merge_oldest(counts)
    return Report(
        zone,
        log,
        revision,
        watchers,
        members,
        in_force_counts,
        tuple(behind[:MAX_LAGGING_NAMED]),
        named_faults,
        fault_count,
    )


def _behind(session: Session, now: int) -> int:
    since = session.behind_since if session.behind_since != NEVER else session.last_received_at
    return max(0, now - since) // MILLISECOND


def _merge_oldest(counts: Counter[Revision]) -> tuple[RevisionCount, ...]:
    """Return the counts, newest revision first.

    Those beyond the limit are added to the count of the oldest revision.
    """
    newest_first = sorted(counts.items(), reverse=True)
    named_faults, rest = newest_first[: MAX_COUNTS - 1], newest_first[MAX_COUNTS - 1 :]
    if rest:
        named_faults.append((rest[-1][0], sum(count for _, count in rest)))
    return tuple(RevisionCount(revision, count) for revision, count in named_faults)

"""What a relay reports upward of its watchers: counts by revision in force, who lags, what could not be applied."""

from collections import Counter
from collections.abc import Iterable

from rackhub.fleet.distribution.agenda import NEVER
from rackhub.fleet.distribution.limits import FAULT_KEYS, MILLISECOND, WORST, Limits
from rackhub.fleet.distribution.messages import KeyFault, LaggingWatcher, LogId, Report, Revision, RevisionCount
from rackhub.fleet.distribution.session import Session

COUNTS = 16  # revisions told apart in one report


def summarize(
    sessions: Iterable[Session], zone: str, log: LogId, revision: Revision, members: int, now: int, limits: Limits
) -> Report:
    """The report of a relay at `revision` with these sessions."""
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
    named = tuple(faults.values())[:FAULT_KEYS]
    in_force_counts = _lump(counts)
    return Report(zone, log, revision, watchers, members, in_force_counts, tuple(behind[:WORST]), named, fault_count)


def _behind(session: Session, now: int) -> int:
    since = session.behind_since if session.behind_since != NEVER else session.heard_at
    return max(0, now - since) // MILLISECOND


def _lump(counts: Counter[Revision]) -> tuple[RevisionCount, ...]:
    """Newest first; what is beyond the bound counts as at the lowest revision of all."""
    newest_first = sorted(counts.items(), reverse=True)
    named, rest = newest_first[: COUNTS - 1], newest_first[COUNTS - 1 :]
    if rest:
        named.append((rest[-1][0], sum(count for _, count in rest)))
    return tuple(RevisionCount(revision, count) for revision, count in named)

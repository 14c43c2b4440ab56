"""Answers to the calls that only read, in the form that the command line prints."""

from collections.abc import Mapping
from typing import Any

import msgspec

from rackhub.fleet.distribution.coordinator import Coordinator
from rackhub.fleet.distribution.history import RevisionNotRetained
from rackhub.fleet.distribution.messages import Change, KeyFault, LaggingWatcher, Revision
from rackhub.fleet.distribution.ports import FleetStatus
from rackhub.fleet.distribution.relay_shell import RelayShell
from rackhub.fleet.distribution.rules import PREFIX, assemble
from rackhub.fleet.distribution.voter import Voter
from rackhub.fleet.ports import Fleet
from rackhub.fleet.settings import FleetSettings

MICROSECONDS_A_MILLISECOND = 1_000


def show_answer(voter: Voter, revision: Revision) -> dict[str, Any]:
    """The whole content at a revision, the newest where it is below 0."""
    newest = voter.history.newest
    shown = newest if revision < 0 else revision
    content = _content_at(voter, shown)
    past = [one.change for one in voter.history.newest_first() if one.change.revision == shown]
    change = past[0] if past else Change(shown, (), "-", "-", "no longer kept" if shown else "the files hold")
    return {"version": {**_change_row(change), "content": content}, "held": newest}


def history_answer(voter: Voter, limit: int) -> dict[str, Any]:
    """The newest changes, newest first, with the keys of each."""
    if limit < 1:
        raise ValueError(f"limit: {limit} is below 1")
    changes = [past.change for past in voter.history.newest_first()][:limit]
    return {"versions": [_change_row(change) for change in changes]}


def difference_answer(voter: Voter, old: Revision, new: Revision) -> dict[str, Any]:
    """What differs in each part between two revisions; without numbers what the newest changed."""
    to = voter.history.newest if new < 0 else new
    since = old if old >= 0 else max(to - 1, 0)
    before, after = _content_at(voter, since), _content_at(voter, to)
    names = sorted(name for name in before.keys() | after.keys() if before.get(name) != after.get(name))
    return {
        "old": since,
        "new": to,
        "parts": {name: {"old": before.get(name), "new": after.get(name)} for name in names},
    }


def status_answer(shell: Coordinator | RelayShell | Voter, settings: FleetSettings, fleet: Fleet) -> dict[str, Any]:
    """Where a process of any role stands."""
    common = {
        "name": settings.name,
        "role": settings.role,
        "zone": settings.zone,
        "revision": shell.version,
        "by_sender": shell.inbox.sender_counts.rows(),
    }
    match shell:
        case Voter():
            return common | _voter_status(shell, fleet)
        case RelayShell():
            return common | {
                "upstream": shell.upstream,
                "watchers": int(shell.metrics()["distribution_watchers"]),
                "members": int(shell.metrics()["distribution_members"]),
            }
        case Coordinator():
            faults = [KeyFault(key, reason) for key, reason in sorted(shell.faults.items())]
            return common | {
                "held": shell.held.revision,
                "upstream": shell.upstream,
                "refused": fault_rows(faults),
                "damage": shell.damage,
            }


def fleet_rows(status: FleetStatus) -> dict[str, Any]:
    """What the relays' reports say of a revision. Times are milliseconds."""
    return {
        "revision": status.revision,
        "in_force": status.in_force,
        "expected": status.expected,
        "lagging": status.lagging,
        "oldest_ms": status.oldest,
        "worst": [_lagging_row(lagging) for lagging in status.worst],
        "refusing": status.fault_count,
    }


def fault_rows(faults: list[KeyFault]) -> list[dict[str, str]]:
    return [{"key": fault.key, "reason": fault.reason} for fault in faults]


def _voter_status(voter: Voter, fleet: Fleet) -> dict[str, Any]:
    now = fleet.clock.now()
    return fleet_rows(voter.status()) | {
        "refused": fault_rows(voter.refused_keys()),
        "votes": voter.acceptor.state.voting,
        "replicated": voter.replication.replicated_revision(),
        "voters": [
            {
                "name": name,
                "revision": heard.revision,
                "age_ms": (now - heard.heard_at) // MICROSECONDS_A_MILLISECOND,
            }
            for name, heard in sorted(voter.replication.heard.items())
        ],
        "damage": voter.damage,
    }


def _content_at(voter: Voter, revision: Revision) -> Mapping[str, Any]:
    """Raises `RevisionNotRetained`."""
    values: dict[str, bytes | None] = {**voter.learner.values()}
    if revision > voter.history.newest:
        raise RevisionNotRetained(revision, voter.history.oldest, voter.history.newest)
    for past in reversed(voter.history.since(revision)):
        values |= past.before
    return assemble({key: value for key, value in values.items() if value is not None and key.startswith(PREFIX)})


def _change_row(change: Change) -> dict[str, Any]:
    """As a version of a rule book without relays is told, where the two have the same."""
    return {
        "number": change.revision,
        "kind": "change",
        "author": change.author,
        "reason": change.reason,
        "id": change.id,
        "gateway": "-",
        "told": 0,
        "keys": [entry.key for entry in change.entries],
    }


def _lagging_row(lagging: LaggingWatcher) -> dict[str, Any]:
    row: dict[str, Any] = msgspec.to_builtins(msgspec.structs.asdict(lagging))
    row["behind_ms"] = row.pop("behind")
    return row

"""A voter of a run: the real one, on the real register.

An edit goes to the register straight: keys of a run are no rule book, and the check of edits by one coordinator of each
zone comes before what is measured here.
"""

from collections.abc import Callable
from typing import Any

from rackhub.fleet.distribution.decisions import (
    Edit,
    EditRejected,
    Tail,
    append_edit,
    decided_revision,
    decode_tail,
    encode_tail,
)
from rackhub.fleet.distribution.events import Persist
from rackhub.fleet.distribution.messages import Change
from rackhub.fleet.distribution.replication import REGISTER_TIMEOUT
from rackhub.fleet.distribution.store import StateStore
from rackhub.fleet.distribution.voter import Voter
from rackhub.fleet.register.disk import MemoryDisk
from rackhub.fleet.register.proposer import Outcome
from rackhub.trials.scale.audit import Acknowledged
from rackhub.trials.scale.editor import Editor
from rackhub.trials.scale.layout import Place, scope_of
from rackhub.trials.scale.orders import Edited
from rackhub.trials.scale.station import Site, Station, Traffic
from rackhub.trials.scale.trace import Trace, digest

DISK = 2_000  # microseconds until a write is synced


class VoterOccupant:
    """One voter; a run gives each a process of its own."""

    def __init__(self, site: Site, place: Place):
        self._site, self._place = site, place
        self._editor = Editor(list(site.layout.regions), site.settings.seed)
        self._station = Station(site, place, site.layout.voters + site.layout.relays, site.begin.boot)
        disk = MemoryDisk(site.later, f"disk of {place.name}", DISK)
        self._write_initial(disk)
        voters = tuple(voter.name for voter in site.layout.voters)
        identity = site.identity(place, site.begin.boot)
        self._voter = Voter(self._station.fleet, identity, voters, disk, site.plan.limits)

    def _write_initial(self, disk: MemoryDisk) -> None:
        """What all voters hold before the first change of the run."""
        held = self._editor.initial()
        store = StateStore(disk, ("",), self._site.tally)
        store.persist(Persist(held.log, held.revision, tuple(held.entries.values()), True), lambda: None)

    def start(self) -> None:
        self._station.start()
        self._voter.start()

    def edit(self, done: Callable[[Edited], None]) -> None:
        """The next change; `done` when it is decided and on this voter's disk, or is not."""
        drawn = self._editor.draw(0)
        values = {entry.key: entry.value for entry in drawn.entries}
        edit = Edit(drawn.id, values, drawn.author, drawn.reason)

        def propose(value: bytes | None) -> tuple[bytes | None, Any]:
            tail = decode_tail(value) if value is not None else self._first_tail()
            try:
                after = append_edit(tail, edit, self._voter.replication.replicated_revision())
            except EditRejected as refused:
                return value, refused
            return encode_tail(after), after

        self._voter.proposer.change(propose, lambda outcome: self._decided(edit, outcome, done), REGISTER_TIMEOUT)

    def _first_tail(self) -> Tail:
        return Tail(self._voter.learner.log, self._voter.learner.revision)

    def _decided(self, edit: Edit, outcome: Outcome, done: Callable[[Edited], None]) -> None:
        tail = outcome.answer
        revision = decided_revision(tail, edit.id) if isinstance(tail, Tail) else None
        if outcome.kind != "done" or revision is None:
            done(Edited(why=f"{outcome.kind}: {outcome.reason or tail}"))
            return
        self._voter.replication.learn(tail)
        self._voter.replication.announce(tail)
        change = next(change for change in tail.changes if change.revision == revision)
        self._voter.learner.when_synced(revision, lambda: self._acknowledged(change, done))

    def _acknowledged(self, change: Change, done: Callable[[Edited], None]) -> None:
        done(Edited(Acknowledged(self._site.clock.now(), change)))

    def revision(self) -> int:
        return self._voter.version

    def traffic(self) -> Traffic:
        return self._station.traffic()

    def counts(self) -> dict[str, int]:
        return {f"voter_{name}": count for name, count in self._station.link.association.counts.items()}

    def ready(self) -> bool:
        return self._voter.acceptor.state.voting

    def lagging(self) -> int:
        return self._voter.status().lagging

    def traces(self) -> list[Trace]:
        return []

    def content(self) -> dict[str, str]:
        """The digest of what is decided, by zone: what its coordinators should have in force."""
        entries = self._voter.learner.entries.values()
        scopes = {zone: scope_of(zone) for zone in self._site.layout.regions}
        return {
            zone: digest(entry for entry in entries if entry.key.startswith(scope)) for zone, scope in scopes.items()
        }

    def status(self) -> str:
        """As `rules status` has it, of the newest revision."""
        status = self._voter.status()
        return f"revision {status.revision} in force at {status.in_force} of {status.expected}, {status.lagging} lag"

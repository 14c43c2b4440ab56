"""The exchange of all that is known with one member: digests by ranges of names, then only what the other lacks. Pure.

Each chunk of a digest fits a datagram and stands for itself: one that is lost costs its range of names until the next
exchange, and nothing is put together.
"""

from collections.abc import Iterator

from rackhub.fleet.link import frames as f
from rackhub.fleet.members.context import Context
from rackhub.fleet.members.gossip_records import GossipRecords
from rackhub.fleet.members.outgoing import Outgoing
from rackhub.fleet.members.peer import Peer, precedence
from rackhub.fleet.members.table import MemberTable

CHUNK_BYTES = 900  # bytes of lines in a chunk


class AntiEntropy:
    def __init__(self, context: Context, table: MemberTable, records: GossipRecords, outgoing: Outgoing):
        self._context, self._table, self._records, self._outgoing = context, table, records, outgoing
        self._next_exchange_at = context.now

    def tick(self) -> None:
        """With one member by chance, now and then."""
        context = self._context
        if context.now < self._next_exchange_at:
            return
        self._next_exchange_at = context.now + context.timing.sync_interval * context.random.randrange(75, 125) // 100
        candidates = sorted(peer.name for peer in self._table.live() if not peer.is_cut(context.timing.cut_threshold))
        if candidates:
            self.begin_exchange(self._table.peers[context.random.choice(candidates)])

    def schedule_soon(self) -> None:
        self._next_exchange_at = min(
            self._next_exchange_at,
            self._context.now + self._context.random.randrange(self._context.timing.probe_period),
        )

    def begin_exchange(self, peer: Peer) -> None:
        self._context.count("syncs")
        for digest in self.digests():
            self._outgoing.send(peer, digest, piggyback=False)

    def digests(self) -> Iterator[f.Digest]:
        entries: list[f.DigestEntry] = []
        after, size = "", 0
        for name in sorted([self._context.local_name, *self._table.peers]):
            entry = self._digest_entry(name)
            length = len(f.encode(entry))
            if entries and size + length > CHUNK_BYTES:
                yield f.Digest(after, entries[-1].name, entries)
                after, entries, size = entries[-1].name, [], 0
            entries.append(entry)
            size += length
        yield f.Digest(after, "", entries)

    def _digest_entry(self, name: str) -> f.DigestEntry:
        claim = self._table.claim(name)
        assert claim is not None
        return f.DigestEntry(name, *precedence(claim), self._records.numbers(name))

    def handle_digest(self, sender: Peer, digest: f.Digest) -> None:
        """Send what the other lacks, and ask for what it has that is newer."""
        remote_entries = {entry.name: entry for entry in digest.entries}
        names_in_range = [
            name
            for name in sorted([self._context.local_name, *self._table.peers])
            if name > digest.after and (not digest.up_to or name <= digest.up_to)
        ]
        self._context.random.shuffle(names_in_range)
        requested: dict[str, list[str]] = {
            name: list(entry.numbers)
            for name, entry in remote_entries.items()
            if name not in self._table.peers and name != self._context.local_name
        }
        outdated: list[tuple[str, list[str]]] = []
        for name in names_in_range:
            local_entry, entry = self._digest_entry(name), remote_entries.get(name)
            if entry is None:
                outdated.append((name, list(local_entry.numbers)))
                continue
            local_precedence, remote_precedence = (
                (local_entry.generation, local_entry.incarnation, local_entry.rank),
                (entry.generation, entry.incarnation, entry.rank),
            )
            newer_kinds = [
                kind
                for kind, number in local_entry.numbers.items()
                if local_entry.generation > entry.generation
                or local_entry.generation == entry.generation
                and entry.numbers.get(kind, 0) < number
            ]
            older_kinds = [
                kind
                for kind, number in entry.numbers.items()
                if entry.generation > local_entry.generation
                or local_entry.generation == entry.generation
                and local_entry.numbers.get(kind, 0) < number
            ]
            if local_precedence > remote_precedence or newer_kinds:
                outdated.append((name, newer_kinds))
            if (remote_precedence > local_precedence or older_kinds) and (
                name != self._context.local_name or remote_precedence > local_precedence
            ):
                requested[name] = older_kinds
        self._respond(sender, outdated, requested)

    def _respond(self, sender: Peer, outdated: list[tuple[str, list[str]]], requested: dict[str, list[str]]) -> None:
        def frames() -> Iterator[f.AnyFrame]:
            batch: dict[str, list[str]] = {}
            for name, kinds in requested.items():
                batch[name] = kinds
                if len(f.encode(f.StateRequest(batch))) > CHUNK_BYTES:
                    del batch[name]
                    yield f.StateRequest(batch)
                    batch = {name: kinds}
            if batch:
                yield f.StateRequest(batch)
            for name, kinds in outdated:
                yield from self._outgoing.state_frames(name, kinds)

        if outdated or requested:
            self._outgoing.send_all(sender, frames())

    def handle_request(self, sender: Peer, requested: f.StateRequest) -> None:
        self._outgoing.send_all(
            sender,
            (
                frame
                for name, kinds in requested.names.items()
                for frame in self._outgoing.state_frames(name, kinds[: self._context.limits.max_record_kinds])
            ),
        )

"""The exchange of all that is known with one member: digests by ranges of names, then only what the other lacks. Pure.

Each chunk of a digest fits a datagram and stands for itself: one that is lost costs its range of names until the next
exchange, and nothing is put together.
"""

from collections.abc import Iterator

from rackhub.fleet.link import frames as f
from rackhub.fleet.members.here import Here
from rackhub.fleet.members.peer import Peer, order
from rackhub.fleet.members.records import Records
from rackhub.fleet.members.table import Table
from rackhub.fleet.members.talk import Talk

ROOM = 900  # bytes of lines in a chunk


class Sync:
    def __init__(self, here: Here, table: Table, records: Records, talk: Talk):
        self._here, self._table, self._records, self._talk = here, table, records, talk
        self._at = here.now

    def tick(self) -> None:
        """With one member by chance, now and then."""
        here = self._here
        if here.now < self._at:
            return
        self._at = here.now + here.timing.sync * here.random.randrange(75, 125) // 100
        able = sorted(p.name for p in self._table.living() if not p.cut(here.timing.cut_after))
        if able:
            self.begin(self._table.peers[here.random.choice(able)])

    def soon(self) -> None:
        self._at = min(self._at, self._here.now + self._here.random.randrange(self._here.timing.period))

    def begin(self, peer: Peer) -> None:
        self._here.count("syncs")
        for digest in self.digests():
            self._talk.to(peer, digest, news=False)

    def digests(self) -> Iterator[f.Digest]:
        lines: list[f.Line] = []
        after, size = "", 0
        for name in sorted([self._here.me, *self._table.peers]):
            line = self._line(name)
            length = len(f.encode(line))
            if lines and size + length > ROOM:
                yield f.Digest(after, lines[-1].name, lines)
                after, lines, size = lines[-1].name, [], 0
            lines.append(line)
            size += length
        yield f.Digest(after, "", lines)

    def _line(self, name: str) -> f.Line:
        claim = self._table.claim(name)
        assert claim is not None
        return f.Line(name, *order(claim), self._records.numbers(name))

    def digested(self, sender: Peer, digest: f.Digest) -> None:
        """Send what the other lacks, and ask for what it has that is newer."""
        theirs = {line.name: line for line in digest.lines}
        inside = [
            name
            for name in sorted([self._here.me, *self._table.peers])
            if name > digest.after and (not digest.upto or name <= digest.upto)
        ]
        self._here.random.shuffle(inside)
        want: dict[str, list[str]] = {
            name: list(line.numbers)
            for name, line in theirs.items()
            if name not in self._table.peers and name != self._here.me
        }
        lacks: list[tuple[str, list[str]]] = []
        for name in inside:
            mine, line = self._line(name), theirs.get(name)
            if line is None:
                lacks.append((name, list(mine.numbers)))
                continue
            one, other = (mine.boot, mine.incarnation, mine.rank), (line.boot, line.incarnation, line.rank)
            newer = [
                kind
                for kind, number in mine.numbers.items()
                if mine.boot > line.boot or mine.boot == line.boot and line.numbers.get(kind, 0) < number
            ]
            older = [
                kind
                for kind, number in line.numbers.items()
                if line.boot > mine.boot or mine.boot == line.boot and mine.numbers.get(kind, 0) < number
            ]
            if one > other or newer:
                lacks.append((name, newer))
            if (other > one or older) and (name != self._here.me or other > one):
                want[name] = older
        self._answer(sender, lacks, want)

    def _answer(self, sender: Peer, lacks: list[tuple[str, list[str]]], want: dict[str, list[str]]) -> None:
        def frames() -> Iterator[f.Any]:
            some: dict[str, list[str]] = {}
            for name, kinds in want.items():
                some[name] = kinds
                if len(f.encode(f.Want(some))) > ROOM:
                    del some[name]
                    yield f.Want(some)
                    some = {name: kinds}
            if some:
                yield f.Want(some)
            for name, kinds in lacks:
                yield from self._talk.known(name, kinds)

        if lacks or want:
            self._talk.stream(sender, frames())

    def wanted(self, sender: Peer, want: f.Want) -> None:
        self._talk.stream(
            sender,
            (
                frame
                for name, kinds in want.names.items()
                for frame in self._talk.known(name, kinds[: self._here.limits.kinds])
            ),
        )

"""Explore the register's core through all orders of message, loss, repetition, crash, restart and lost disk.

The real `acceptor` and `round` are run. A message that was sent stays there: it may arrive at any time, twice, or
never. A reply is sent when its acceptor's state is durable; a crash takes what was not. A proposer may give a round up
at any moment and begin the next one, as after a time-out or a restart: a restarted editor says its edit again under
its id. Join requests and their replies come once at most to each.

Bounds are those of `Bounds`. What is checked in every state that a choice leads to: all values chosen are prefixes of
one another, none comes twice into one, and each round's value holds all that was known chosen when the round began.

    python -m rackhub.trials.fleet.register_explore [--small] [--json]
"""

import sys
import time
from collections.abc import Hashable, Iterator, Sequence
from random import Random
from typing import Any, NamedTuple

import msgspec

from rackhub.fleet.register.acceptor import AcceptorState, handle, new_acceptor
from rackhub.fleet.register.messages import (
    NO_BALLOT,
    Accept,
    Ballot,
    DiskIncarnation,
    JoinAccepted,
    JoinRequest,
    KnownIncarnation,
    Message,
    Prepare,
    Promise,
    Vote,
)
from rackhub.fleet.register.round import ChangeFunction, Chosen, Round, handle_reply, start_round

ACCEPTORS = ("a", "b", "c")
EDITORS = ("x", "y")


class Bounds(NamedTuple):
    """`rounds`: of each editor; those after its edit has ended are reads. `born`: the acceptors begin with new disks.
    `unsynced`, `empty` plant the mistakes: replies sent before the state is durable; an acceptor with an empty disk
    that votes."""

    rounds: tuple[int, int] = (1, 1)
    crashes: int = 0
    wipes: int = 0
    born: bool = False
    unsynced: bool = False
    empty: bool = False


class Explored(msgspec.Struct):
    bounds: dict[str, Any]
    states: int = 0
    steps: int = 0
    chosen: int = 0  # states with a value chosen
    complete: bool = True
    seconds: float = 0.0
    violations: list[str] = []


class Editor(NamedTuple):
    """One editor between two steps. `floor`: what was chosen when its round began; `done`: its edit has its answer."""

    round: Round | None = None
    left: int = 0
    floor: bytes = b""
    done: bool = False
    known: Ballot = NO_BALLOT
    value: bytes | None = None


class _Ids:
    """Small numbers for things, so that a state is a tuple of numbers."""

    def __init__(self) -> None:
        self.of: dict[Hashable, int] = {}
        self.all: list[Any] = []

    def __call__(self, thing: Hashable) -> int:
        found = self.of.get(thing)
        if found is None:
            found = self.of[thing] = len(self.all)
            self.all.append(thing)
        return found


class World(NamedTuple):
    """All there is between two steps. `sent`: bits of messages under way; `held`: those that wait for each disk."""

    memory: tuple[int, ...]
    disks: tuple[int, ...]
    held: tuple[int, ...]
    editors: tuple[int, ...]
    sent: int
    crashes: int
    wipes: int
    longest: int


class Explorer:
    """Breadth first, so that the way to a violation is a shortest one."""

    def __init__(self, bounds: Bounds, most: int = 5_000_000):
        self.bounds, self.most = bounds, most
        self.acceptors, self.rounds, self.mail, self.values = _Ids(), _Ids(), _Ids(), _Ids()
        self.values(b"")
        self._handled: dict[tuple[int, int], tuple[int, int]] = {}

    # ---- the beginning

    def _begin(self) -> World:
        full = []
        for me in ACCEPTORS:
            incarnation = DiskIncarnation(1, me)
            state = new_acceptor(ACCEPTORS, me, incarnation)
            if not self.bounds.born:
                known = tuple(KnownIncarnation(name, DiskIncarnation(1, name)) for name in ACCEPTORS if name != me)
                state = msgspec.structs.replace(state, voting=True, known_incarnations=known)
            full.append(state)
        ids = tuple(self.acceptors(state) for state in full)
        sent = 0
        if self.bounds.born:
            for state in full:
                sent |= self._request_join(state)
        editors = tuple(self.rounds(Editor(left=many)) for many in self.bounds.rounds)
        return World(ids, ids, (0,) * len(ids), editors, sent, self.bounds.crashes, self.bounds.wipes, 0)

    def _request_join(self, state: AcceptorState) -> int:
        return self._post(
            [(name, JoinRequest(state.local_name, state.incarnation)) for name in ACCEPTORS if name != state.local_name]
        )

    def _post(self, mail: Sequence[tuple[str, Message]]) -> int:
        bits = 0
        for one in mail:
            bits |= 1 << self.mail(one)
        return bits

    # ---- one step

    def steps(self, world: World) -> Iterator[tuple[str, World, str]]:
        """What may happen next: its words, the state after it, and what is wrong with it or nothing."""
        rest = world.sent
        while rest:
            low = rest & -rest
            rest ^= low
            number = low.bit_length() - 1
            to, message = self.mail.all[number]
            if to in ACCEPTORS:
                yield from self._to_acceptor(world, ACCEPTORS.index(to), number)
            else:
                yield from self._to_editor(world, EDITORS.index(to), message)
        for at in range(len(EDITORS)):
            yield from self._next_round(world, at)
        for at in range(len(ACCEPTORS)):
            if world.held[at] or world.disks[at] != world.memory[at]:
                yield f"{ACCEPTORS[at]} syncs", self._synced(world, at), ""
                if world.crashes:
                    yield f"{ACCEPTORS[at]} crashes", self._crashed(world, at), ""
            if world.wipes:
                yield from self._wiped(world, at)

    def _to_acceptor(self, world: World, at: int, number: int) -> Iterator[tuple[str, World, str]]:
        key = world.memory[at], number
        found = self._handled.get(key)
        if found is None:
            message = self.mail.all[number][1]
            after, replies = handle(self.acceptors.all[key[0]], message)
            to = message.ballot.proposer if isinstance(message, Prepare | Accept) else message.acceptor
            told = [(to, reply) for reply in replies if not isinstance(reply, Vote) or hasattr(reply, "incarnation")]
            found = self._handled[key] = self.acceptors(after), self._post(told)
        after_id, told_bits = found
        if isinstance(self.mail.all[number][1], JoinRequest | JoinAccepted):
            world = world._replace(sent=world.sent & ~(1 << number))
        if after_id == key[0] and not told_bits & ~(world.sent | world.held[at]):
            return
        memory = _put(world.memory, at, after_id)
        sure = not world.crashes or after_id == key[0] and not world.held[at] and world.disks[at] == key[0]
        if sure:  # without a crash to come, a sync that takes long is a message that does
            world = world._replace(memory=memory, disks=_put(world.disks, at, after_id), sent=world.sent | told_bits)
            world = self._without_dead(world) if told_bits else world
        elif self.bounds.unsynced:
            world = world._replace(memory=memory, sent=world.sent | told_bits)
        else:
            world = world._replace(memory=memory, held=_put(world.held, at, world.held[at] | told_bits))
        yield f"{ACCEPTORS[at]} gets {number}", world, ""

    def _to_editor(self, world: World, at: int, message: Any) -> Iterator[tuple[str, World, str]]:
        editor: Editor = self.rounds.all[world.editors[at]]
        if editor.round is None:
            return
        after, effects = handle_reply(editor.round, message, self._change(at, editor.done))
        if after == editor.round:
            return
        if after.accept_sent:  # what led there can do nothing any more
            after = msgspec.structs.replace(after, promises=(), known_ballot=NO_BALLOT)
        editor, wrong = editor._replace(round=after), ""
        for effect in effects:
            if isinstance(effect, Accept):
                world = world._replace(sent=world.sent | self._post([(name, effect) for name in ACCEPTORS]))
            elif isinstance(effect, Chosen):
                world, wrong = self._chosen(world, editor, effect)
                editor = Editor(None, editor.left, b"", True, effect.ballot, effect.value)
        world = world._replace(editors=_put(world.editors, at, self.rounds(editor)))
        yield f"{EDITORS[at]} hears {message}", self._without_dead(world), wrong

    def _chosen(self, world: World, editor: Editor, effect: Chosen) -> tuple[World, str]:
        value, longest = effect.value or b"", self.values.all[world.longest]
        if not (value.startswith(longest) or longest.startswith(value)):
            return world, f"chosen {value!r} and {longest!r}"
        if not value.startswith(editor.floor):
            return world, f"chosen {value!r} after {editor.floor!r} was known"
        if any(value.count(bytes([one])) > 1 for one in value):
            return world, f"an edit twice in {value!r}"
        if len(value) > len(longest):
            world = world._replace(longest=self.values(value))
        return world, ""

    @staticmethod
    def _change(at: int, reads: bool) -> ChangeFunction:
        mine = EDITORS[at].encode()

        def change(value: bytes | None) -> tuple[bytes | None, Any]:
            if reads or mine in (value or b""):
                return value, None
            return (value or b"") + mine, None

        return change

    def _next_round(self, world: World, at: int) -> Iterator[tuple[str, World, str]]:
        editor: Editor = self.rounds.all[world.editors[at]]
        if not editor.left:
            return
        top = max(
            [
                0,
                *(
                    self.rounds.all[one].round.ballot.number
                    for one in world.editors
                    if self.rounds.all[one].round is not None
                ),
                *(max(self.acceptors.all[one].promised.number for one in world.memory),),
            ]
        )
        for number in {top + 1, max(top, 1)}:
            ballot = Ballot(number, EDITORS[at], 10 - editor.left)
            began, prepare = start_round(ACCEPTORS, ballot, editor.known, editor.value)
            after = editor._replace(round=began, left=editor.left - 1, floor=self.values.all[world.longest])
            sent = world.sent | self._post([(name, prepare) for name in ACCEPTORS])
            yield (
                f"{EDITORS[at]} begins {ballot}",
                self._without_dead(world._replace(sent=sent, editors=_put(world.editors, at, self.rounds(after)))),
                "",
            )

    def _without_dead(self, world: World) -> World:
        """Replies to a round that is over can do nothing any more."""
        ballots = {EDITORS[i]: self.rounds.all[one].round for i, one in enumerate(world.editors)}
        sent, rest = world.sent, world.sent
        while rest:
            low = rest & -rest
            rest ^= low
            to, message = self.mail.all[low.bit_length() - 1]
            now = ballots.get(to)
            if isinstance(message, JoinAccepted):
                if self.acceptors.all[world.memory[ACCEPTORS.index(to)]].voting:
                    sent ^= low
            elif to in ballots and (
                now is None or now.ballot != message.ballot or now.accept_sent and isinstance(message, Promise)
            ):
                sent ^= low
        return world._replace(sent=sent)

    def _synced(self, world: World, at: int) -> World:
        return world._replace(
            disks=_put(world.disks, at, world.memory[at]),
            held=_put(world.held, at, 0),
            sent=world.sent | world.held[at],
        )

    def _crashed(self, world: World, at: int) -> World:
        return world._replace(
            memory=_put(world.memory, at, world.disks[at]), held=_put(world.held, at, 0), crashes=world.crashes - 1
        )

    def _wiped(self, world: World, at: int) -> Iterator[tuple[str, World, str]]:
        """Its disk is replaced. Two of three at once are more than any register bears."""
        if not all(self.acceptors.all[one].voting for i, one in enumerate(world.memory) if i != at):
            return
        old: AcceptorState = self.acceptors.all[world.memory[at]]
        fresh = new_acceptor(ACCEPTORS, old.local_name, DiskIncarnation(old.incarnation.generation + 1, old.local_name))
        if self.bounds.empty:
            fresh = msgspec.structs.replace(fresh, voting=True)
        number = self.acceptors(fresh)
        yield (
            f"{old.local_name} loses its disk",
            world._replace(
                memory=_put(world.memory, at, number),
                disks=_put(world.disks, at, number),
                held=_put(world.held, at, 0),
                wipes=world.wipes - 1,
                sent=world.sent | (0 if self.bounds.empty else self._request_join(fresh)),
            ),
            "",
        )

    # ---- all of them

    def run(self) -> Explored:
        """States are told apart by 64 bits of their hash: at five million, that two fall together is one in a million
        runs."""
        began = time.monotonic()
        told = Explored(self.bounds._asdict())
        first = self._begin()
        came = {hash(first): 0}
        layer = [first]
        while layer and told.complete and not told.violations:
            following: list[World] = []
            for world in layer:
                told.chosen += bool(world.longest)
                here = hash(world)
                for words, after, wrong in self.steps(world):
                    told.steps += 1
                    if wrong:
                        told.violations.append(wrong + ": " + "; ".join([*self._way(came, here), words]))
                        break
                    at = hash(after)
                    if at not in came:
                        came[at] = here
                        following.append(after)
                if told.violations or len(came) > self.most:
                    told.complete = bool(told.violations)
                    break
            layer = following
        told.states, told.seconds = len(came), round(time.monotonic() - began, 1)
        return told

    def _way(self, came: dict[int, int], here: int) -> list[str]:
        """The steps to a state, gone once more."""
        chain = [here]
        while came[chain[-1]]:
            chain.append(came[chain[-1]])
        world, words = self._begin(), []
        for at in chain[-2::-1]:
            word, world = next((word, after) for word, after, _ in self.steps(world) if hash(after) == at)
            words.append(word)
        return words

    def walk(self, seed: int, walks: int, longest: int = 200) -> Explored:
        """So many ways by chance instead of all: deep, where there are too many."""
        told, random = Explored(self.bounds._asdict(), complete=False), Random(seed)
        for _ in range(walks):
            world, way = self._begin(), []
            for _ in range(longest):
                able = [one for one in self.steps(world) if one[1] != world or one[2]]
                if not able:
                    break
                words, world, wrong = able[random.randrange(len(able))]
                way.append(words)
                told.steps += 1
                if wrong:
                    told.violations.append(wrong + ": " + "; ".join(way))
                    return told
            told.chosen += bool(world.longest)
        return told


def _put(things: tuple[int, ...], at: int, thing: int) -> tuple[int, ...]:
    return (*things[:at], thing, *things[at + 1 :])


SMALL = (Bounds(rounds=(1, 1)), Bounds(rounds=(1, 0), crashes=1), Bounds(rounds=(1, 0), born=True))
FULL = (
    *SMALL,
    Bounds(rounds=(2, 1)),
    Bounds(rounds=(1, 1), crashes=1),
    Bounds(rounds=(1, 1), born=True),
    Bounds(rounds=(2, 0), wipes=1),
    Bounds(rounds=(1, 1), wipes=1),
)

__all__ = ["Bounds", "Explorer", "FULL", "SMALL"]


def main(words: list[str]) -> int:
    reports = []
    for bounds in SMALL if "--small" in words else FULL:
        reports.append(Explorer(bounds).run())
        if "--json" not in words:
            one = reports[-1]
            print(
                f"{bounds}: {one.states:,} states, {one.steps:,} steps, {one.chosen:,} with a value chosen, "
                f"{'all' if one.complete else 'NOT ALL'}, violations {len(one.violations)}, "
                f"{one.seconds} s",
                flush=True,
            )
    if "--json" in words:
        print(msgspec.json.encode(reports).decode())
    return 1 if any(one.violations for one in reports) else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))

"""Explores the register's core over all orders of delivery, loss, duplication, crash, restart and disk loss.

The real `acceptor` and `round` are run. A sent message may arrive at any time, more than once, or never. A reply is
sent once its acceptor's state is durable; a crash loses what was not synced. A proposer may abandon a round at any time
and start the next one, as after a time-out or a restart; a restarted editor repeats its edit with the same id. Join
requests and their replies arrive at most once.

`Bounds` limits the search. Checked in every state with a chosen value: all chosen values are prefixes of one another,
no edit is in a value twice, and each round's value includes all that was known to be chosen when the round began.

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
    """`rounds`: per editor; rounds after its edit has completed are reads. `born`: the acceptors start with new disks.
    `unsynced` and `empty` inject bugs: replies are sent before the state is durable; an acceptor with an empty disk
    votes."""

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
    """State of an editor. `floor`: the value chosen when its round began; `done`: its edit has been answered."""

    round: Round | None = None
    left: int = 0
    floor: bytes = b""
    done: bool = False
    known: Ballot = NO_BALLOT
    value: bytes | None = None


class _Numbering:
    """Assigns consecutive numbers to objects, so that a state is a tuple of numbers."""

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
    """The state between two steps. `sent`: bit set of messages in transit; `held`: those awaiting each disk's sync."""

    memory: tuple[int, ...]
    disks: tuple[int, ...]
    held: tuple[int, ...]
    editors: tuple[int, ...]
    sent: int
    crashes: int
    wipes: int
    longest: int


class Explorer:
    """Searches breadth first, so that a reported path to a violation is a shortest one."""

    def __init__(self, bounds: Bounds, most: int = 5_000_000):
        self.bounds, self.most = bounds, most
        self.acceptors, self.rounds, self.messages, self.values = _Numbering(), _Numbering(), _Numbering(), _Numbering()
        self.values(b"")
        self._handled: dict[tuple[int, int], tuple[int, int]] = {}

    # ---- initial state

    def _initial_state(self) -> World:
        states = []
        for local_name in ACCEPTORS:
            incarnation = DiskIncarnation(1, local_name)
            state = new_acceptor(ACCEPTORS, local_name, incarnation)
            if not self.bounds.born:
                known = tuple(
                    KnownIncarnation(name, DiskIncarnation(1, name)) for name in ACCEPTORS if name != local_name
                )
                state = msgspec.structs.replace(state, voting=True, known_incarnations=known)
            states.append(state)
        ids = tuple(self.acceptors(state) for state in states)
        sent = 0
        if self.bounds.born:
            for state in states:
                sent |= self._request_join(state)
        editors = tuple(self.rounds(Editor(left=many)) for many in self.bounds.rounds)
        return World(ids, ids, (0,) * len(ids), editors, sent, self.bounds.crashes, self.bounds.wipes, 0)

    def _request_join(self, state: AcceptorState) -> int:
        return self._message_bits(
            [(name, JoinRequest(state.local_name, state.incarnation)) for name in ACCEPTORS if name != state.local_name]
        )

    def _message_bits(self, messages: Sequence[tuple[str, Message]]) -> int:
        bits = 0
        for one in messages:
            bits |= 1 << self.messages(one)
        return bits

    # ---- steps

    def steps(self, world: World) -> Iterator[tuple[str, World, str]]:
        """Yield each possible step: its description, the state after it, and the violation or an empty text."""
        rest = world.sent
        while rest:
            low = rest & -rest
            rest ^= low
            number = low.bit_length() - 1
            to, message = self.messages.all[number]
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
            message = self.messages.all[number][1]
            after, replies = handle(self.acceptors.all[key[0]], message)
            to = message.ballot.proposer if isinstance(message, Prepare | Accept) else message.acceptor
            result = [(to, reply) for reply in replies if not isinstance(reply, Vote) or hasattr(reply, "incarnation")]
            found = self._handled[key] = self.acceptors(after), self._message_bits(result)
        after_id, reply_bits = found
        if isinstance(self.messages.all[number][1], JoinRequest | JoinAccepted):
            world = world._replace(sent=world.sent & ~(1 << number))
        if after_id == key[0] and not reply_bits & ~(world.sent | world.held[at]):
            return
        memory = _replace_at(world.memory, at, after_id)
        is_durable = not world.crashes or after_id == key[0] and not world.held[at] and world.disks[at] == key[0]
        if is_durable:  # without further crashes a slow sync is the same as a slow message
            world = world._replace(
                memory=memory, disks=_replace_at(world.disks, at, after_id), sent=world.sent | reply_bits
            )
            world = self._without_obsolete_replies(world) if reply_bits else world
        elif self.bounds.unsynced:
            world = world._replace(memory=memory, sent=world.sent | reply_bits)
        else:
            world = world._replace(memory=memory, held=_replace_at(world.held, at, world.held[at] | reply_bits))
        yield f"{ACCEPTORS[at]} receives message {number}", world, ""

    def _to_editor(self, world: World, at: int, message: Any) -> Iterator[tuple[str, World, str]]:
        editor: Editor = self.rounds.all[world.editors[at]]
        if editor.round is None:
            return
        after, effects = handle_reply(editor.round, message, self._change(at, editor.done))
        if after == editor.round:
            return
        if after.accept_sent:  # the promises have no further effect
            after = msgspec.structs.replace(after, promises=(), known_ballot=NO_BALLOT)
        editor, wrong = editor._replace(round=after), ""
        for effect in effects:
            if isinstance(effect, Accept):
                world = world._replace(sent=world.sent | self._message_bits([(name, effect) for name in ACCEPTORS]))
            elif isinstance(effect, Chosen):
                world, wrong = self._chosen(world, editor, effect)
                editor = Editor(None, editor.left, b"", True, effect.ballot, effect.value)
        world = world._replace(editors=_replace_at(world.editors, at, self.rounds(editor)))
        yield f"{EDITORS[at]} receives {message}", self._without_obsolete_replies(world), wrong

    def _chosen(self, world: World, editor: Editor, effect: Chosen) -> tuple[World, str]:
        value, longest = effect.value or b"", self.values.all[world.longest]
        if not (value.startswith(longest) or longest.startswith(value)):
            return world, f"chosen values {value!r} and {longest!r} diverge"
        if not value.startswith(editor.floor):
            return world, f"chosen {value!r} although {editor.floor!r} was known to be chosen"
        if any(value.count(bytes([one])) > 1 for one in value):
            return world, f"chosen value {value!r} contains an edit twice"
        if len(value) > len(longest):
            world = world._replace(longest=self.values(value))
        return world, ""

    @staticmethod
    def _change(at: int, reads: bool) -> ChangeFunction:
        own_edit = EDITORS[at].encode()

        def change(value: bytes | None) -> tuple[bytes | None, Any]:
            if reads or own_edit in (value or b""):
                return value, None
            return (value or b"") + own_edit, None

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
            sent = world.sent | self._message_bits([(name, prepare) for name in ACCEPTORS])
            yield (
                f"{EDITORS[at]} begins {ballot}",
                self._without_obsolete_replies(
                    world._replace(sent=sent, editors=_replace_at(world.editors, at, self.rounds(after)))
                ),
                "",
            )

    def _without_obsolete_replies(self, world: World) -> World:
        """Remove replies to finished rounds, which have no further effect."""
        ballots = {EDITORS[i]: self.rounds.all[one].round for i, one in enumerate(world.editors)}
        sent, rest = world.sent, world.sent
        while rest:
            low = rest & -rest
            rest ^= low
            to, message = self.messages.all[low.bit_length() - 1]
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
            disks=_replace_at(world.disks, at, world.memory[at]),
            held=_replace_at(world.held, at, 0),
            sent=world.sent | world.held[at],
        )

    def _crashed(self, world: World, at: int) -> World:
        return world._replace(
            memory=_replace_at(world.memory, at, world.disks[at]),
            held=_replace_at(world.held, at, 0),
            crashes=world.crashes - 1,
        )

    def _wiped(self, world: World, at: int) -> Iterator[tuple[str, World, str]]:
        """Replace the disk, if the others vote: no register tolerates the loss of two disks of three at once."""
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
                memory=_replace_at(world.memory, at, number),
                disks=_replace_at(world.disks, at, number),
                held=_replace_at(world.held, at, 0),
                wipes=world.wipes - 1,
                sent=world.sent | (0 if self.bounds.empty else self._request_join(fresh)),
            ),
            "",
        )

    # ---- search

    def run(self) -> Explored:
        """Explore all states. They are compared by 64-bit hashes: with five million states, one run in a million has a
        collision."""
        began = time.monotonic()
        result = Explored(self.bounds._asdict())
        first = self._initial_state()
        predecessors = {hash(first): 0}
        layer = [first]
        while layer and result.complete and not result.violations:
            following: list[World] = []
            for world in layer:
                result.chosen += bool(world.longest)
                state_hash = hash(world)
                for words, after, wrong in self.steps(world):
                    result.steps += 1
                    if wrong:
                        result.violations.append(
                            wrong + ": " + "; ".join([*self._path(predecessors, state_hash), words])
                        )
                        break
                    at = hash(after)
                    if at not in predecessors:
                        predecessors[at] = state_hash
                        following.append(after)
                if result.violations or len(predecessors) > self.most:
                    result.complete = bool(result.violations)
                    break
            layer = following
        result.states, result.seconds = len(predecessors), round(time.monotonic() - began, 1)
        return result

    def _path(self, predecessors: dict[int, int], state_hash: int) -> list[str]:
        """Return the steps to a state, by replaying them."""
        chain = [state_hash]
        while predecessors[chain[-1]]:
            chain.append(predecessors[chain[-1]])
        world, words = self._initial_state(), []
        for at in chain[-2::-1]:
            word, world = next((word, after) for word, after, _ in self.steps(world) if hash(after) == at)
            words.append(word)
        return words

    def walk(self, seed: int, walks: int, longest: int = 200) -> Explored:
        """Take `walks` random paths, for bounds with too many states to explore all."""
        result, random = Explored(self.bounds._asdict(), complete=False), Random(seed)
        for _ in range(walks):
            world, path = self._initial_state(), []
            for _ in range(longest):
                possible = [one for one in self.steps(world) if one[1] != world or one[2]]
                if not possible:
                    break
                words, world, wrong = possible[random.randrange(len(possible))]
                path.append(words)
                result.steps += 1
                if wrong:
                    result.violations.append(wrong + ": " + "; ".join(path))
                    return result
            result.chosen += bool(world.longest)
        return result


def _replace_at(things: tuple[int, ...], at: int, thing: int) -> tuple[int, ...]:
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

"""What must hold of members, board and mail, whatever the wire does: a watch on all that the cores say."""

from collections import Counter

from rackhub.fleet.members.context import Effect, MemberChanged, MessageReceived, RecordReceived
from rackhub.fleet.ports import MemberState, Name
from rackhub.trials.fleet.members_wire import DRIFT, Gateway, Wire
from rackhub.trials.fleet.twin import MS, SECOND

RANKS = {MemberState.ALIVE: 0, MemberState.CUT: 0, MemberState.SUSPECT: 1, MemberState.GONE: 2, MemberState.LEFT: 3}
FRESH = 3 * SECOND  # the age at which a record of a gateway that posts twice a second must not stand
KEPT = 50  # violations that are worded; all are counted


class Watch:
    """`forged`: names in which somebody else may have spoken, so that contents and ages are not judged."""

    def __init__(self, wire: Wire):
        self.wire, self.counts, self.worded = wire, Counter[str](), list[str]()
        self.forged = False
        self.unranked: dict[Name, int] = {}  # starts that kept nothing and were not told yet what they were, until when
        self._order: dict[tuple[Name, int, Name], tuple[int, int, int]] = {}
        self._board: dict[tuple[Name, int, Name, str], tuple[int, int]] = {}
        self._posted: dict[bytes, int] = {}
        self._mail: dict[bytes, tuple[Name, int]] = {}
        self._number, self._posting = 0, set[Name]()
        self.over: list[int] = []  # by how much records were told as older than they are
        wire.seen.append(self._saw)

    def wrong(self, kind: str, words: str) -> None:
        self.counts[kind] += 1
        if len(self.worded) < KEPT:
            self.worded.append(f"{(self.wire.time.now() - 1_000 * SECOND) / SECOND:.3f} s: {kind}: {words}")

    # ---- what is put in

    def post(self, gateway: Gateway, kind: str, size: int) -> None:
        self._number += 1
        self._posting.add(gateway.name)
        body = b"%s %s %d %d " % (gateway.name.encode(), kind.encode(), gateway.starts, self._number)
        body = body.ljust(max(size, len(body)), b".")
        self._posted[body] = self.wire.time.now()
        gateway.post(kind, body)

    def send(self, gateway: Gateway, to: Name, size: int) -> None:
        self._number += 1
        body = b"%d " % self._number
        body = body.ljust(max(size, len(body)), b"m")
        self._mail[body] = (to, 0)
        self.counts["mail_sent"] += 1
        gateway.send(to, "trial", body)

    # ---- what comes out

    def _saw(self, gateway: Gateway, effect: Effect) -> None:
        match effect:
            case MemberChanged():
                self._changed(gateway, effect)
            case RecordReceived():
                self._noted(gateway, effect)
            case MessageReceived():
                self._mailed(gateway, effect)

    def _changed(self, gateway: Gateway, effect: MemberChanged) -> None:
        member = effect.member
        key, new = (
            (gateway.name, gateway.starts, member.name),
            (member.generation, member.incarnation, RANKS[member.state]),
        )
        if self._order.get(key, new) > new:
            self.wrong("views_going_back", f"{gateway.name} of {member.name}: {self._order[key]} to {new}")
        self._order[key] = new
        other = self.wire.gateways[member.name]
        if (
            member.state is MemberState.GONE
            and other.up
            and not other.paused
            and member.generation == other.core.local_member.generation
        ):
            self.counts["given_up"] += 1

    def _noted(self, gateway: Gateway, effect: RecordReceived) -> None:
        record = effect.record
        if record.kind == "reach":
            return
        at = self._posted.get(record.body)
        if at is None:
            if not self.forged:
                self.wrong("records_made_up", f"{gateway.name} of {record.owner}")
            return
        _, _, starts, number = record.body.split(b" ")[:4]
        key, new = (gateway.name, gateway.starts, record.owner, record.kind), (int(starts), int(number))
        if self._board.get(key, new) > new and self.wire.time.now() > self.unranked.get(record.owner, 0):
            self.wrong("board_going_back", f"{gateway.name} of {record.owner}: {self._board[key]} to {new}")
        self._board[key] = new
        truth = self.wire.time.now() - at
        if record.age < truth - truth * 2 * DRIFT // 1_000_000 - 1 * MS and not self.forged:
            self.wrong("records_too_young", f"{gateway.name} of {record.owner}: {record.age} us, really {truth}")
        self.over.append(record.age - truth)

    def _mailed(self, gateway: Gateway, effect: MessageReceived) -> None:
        if effect.body not in self._mail:
            self.wrong("mail_made_up", f"{gateway.name} from {effect.sender}")
            return
        to, times = self._mail[effect.body]
        if to != gateway.name:
            self.wrong("mail_astray", f"{gateway.name}, meant for {to}")
        if times:
            self.wrong("mail_twice", f"{gateway.name} from {effect.sender}")
        self._mail[effect.body] = (to, times + 1)
        self.counts["mail_taken"] += not times

    # ---- the final state

    def _old(self, one: Gateway, owner: Name) -> bool:
        record = one.core.records.get(owner, "demand")
        return record is None or record.age > FRESH

    def unsettled(self) -> list[str]:
        """Where views are not yet what is: who runs is held alive under its present boot number and heard, who does
        not is not held to live, and each knows the newest record of each."""
        left: list[str] = []
        for one in self.wire.running():
            members = one.core.table.members()
            for name, other in self.wire.gateways.items():
                if name == one.name:
                    continue
                member = members.get(name)
                if not other.up:
                    if member is not None and member.state not in (MemberState.GONE, MemberState.LEFT):
                        left.append(f"{one.name} holds {name} {member.state.value}, which is down")
                    continue
                if member is None or (member.state, member.generation) != (
                    MemberState.ALIVE,
                    other.core.local_member.generation,
                ):
                    left.append(f"{one.name} holds {name} {member.state.value if member else 'unknown'}")
                elif one.core.receives_from(name, one.name) is not True:
                    left.append(f"{one.name} does not know that {name} hears it")
                elif other.name in self._posting and self._old(one, name):
                    left.append(f"{one.name} has no record of {name} that is newer than {FRESH // SECOND} s")
        return left

    def healthy_lost(self) -> int:
        """Pairs in which one that runs holds another that runs as gone, left or unknown."""
        lost = 0
        for one in self.wire.running():
            members = one.core.table.members()
            for other in self.wire.running():
                member = members.get(other.name)
                lost += member is None or member.state in (MemberState.GONE, MemberState.LEFT)
        return lost

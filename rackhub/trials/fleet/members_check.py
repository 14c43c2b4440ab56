"""Checks the invariants of members, gossip state and messages on all effects of the cores, under any network fault."""

from collections import Counter

from rackhub.fleet.members.context import Effect, MemberChanged, MessageReceived, RecordReceived
from rackhub.fleet.ports import MemberState, Name
from rackhub.trials.fleet.members_wire import DRIFT, Gateway, Wire
from rackhub.trials.fleet.twin import MS, SECOND

RANKS = {MemberState.ALIVE: 0, MemberState.CUT: 0, MemberState.SUSPECT: 1, MemberState.GONE: 2, MemberState.LEFT: 3}
MAX_RECORD_AGE = 3 * SECOND  # maximum age of the newest record of a gateway that publishes twice per second
MAX_VIOLATIONS = 50  # maximum number of violations kept as text; all are counted


class InvariantChecker:
    """`forged`: a gateway may have sent claims and records under other names; contents and ages are not checked."""

    def __init__(self, wire: Wire):
        self.wire, self.counts, self.violations = wire, Counter[str](), list[str]()
        self.forged = False
        # Gateways restarted without stored state, and the time until which their generation may go back.
        self.unranked: dict[Name, int] = {}
        self._member_order: dict[tuple[Name, int, Name], tuple[int, int, int]] = {}
        self._record_order: dict[tuple[Name, int, Name, str], tuple[int, int]] = {}
        self._published_at: dict[bytes, int] = {}
        self._messages: dict[bytes, tuple[Name, int]] = {}
        self._number, self._publishers = 0, set[Name]()
        self.over: list[int] = []  # reported age minus real age of each record, in microseconds
        wire.seen.append(self._check_effect)

    def record_violation(self, kind: str, detail: str) -> None:
        self.counts[kind] += 1
        if len(self.violations) < MAX_VIOLATIONS:
            self.violations.append(f"{(self.wire.time.now() - 1_000 * SECOND) / SECOND:.3f} s: {kind}: {detail}")

    # ---- input

    def post(self, gateway: Gateway, kind: str, size: int) -> None:
        self._number += 1
        self._publishers.add(gateway.name)
        body = b"%s %s %d %d " % (gateway.name.encode(), kind.encode(), gateway.starts, self._number)
        body = body.ljust(max(size, len(body)), b".")
        self._published_at[body] = self.wire.time.now()
        gateway.post(kind, body)

    def send(self, gateway: Gateway, to: Name, size: int) -> None:
        self._number += 1
        body = b"%d " % self._number
        body = body.ljust(max(size, len(body)), b"m")
        self._messages[body] = (to, 0)
        self.counts["mail_sent"] += 1
        gateway.send(to, "trial", body)

    # ---- effects

    def _check_effect(self, gateway: Gateway, effect: Effect) -> None:
        match effect:
            case MemberChanged():
                self._check_member(gateway, effect)
            case RecordReceived():
                self._check_record(gateway, effect)
            case MessageReceived():
                self._check_message(gateway, effect)

    def _check_member(self, gateway: Gateway, effect: MemberChanged) -> None:
        member = effect.member
        key, new = (
            (gateway.name, gateway.starts, member.name),
            (member.generation, member.incarnation, RANKS[member.state]),
        )
        if self._member_order.get(key, new) > new:
            self.record_violation(
                "views_going_back", f"{gateway.name} of {member.name}: {self._member_order[key]} to {new}"
            )
        self._member_order[key] = new
        other = self.wire.gateways[member.name]
        if (
            member.state is MemberState.GONE
            and other.up
            and not other.paused
            and member.generation == other.core.local_member.generation
        ):
            self.counts["given_up"] += 1

    def _check_record(self, gateway: Gateway, effect: RecordReceived) -> None:
        record = effect.record
        if record.kind == "reach":
            return
        at = self._published_at.get(record.body)
        if at is None:
            if not self.forged:
                self.record_violation("records_made_up", f"{gateway.name} of {record.owner}")
            return
        _, _, starts, number = record.body.split(b" ")[:4]
        key, new = (gateway.name, gateway.starts, record.owner, record.kind), (int(starts), int(number))
        if self._record_order.get(key, new) > new and self.wire.time.now() > self.unranked.get(record.owner, 0):
            self.record_violation(
                "board_going_back", f"{gateway.name} of {record.owner}: {self._record_order[key]} to {new}"
            )
        self._record_order[key] = new
        truth = self.wire.time.now() - at
        if record.age < truth - truth * 2 * DRIFT // 1_000_000 - 1 * MS and not self.forged:
            self.record_violation(
                "records_too_young", f"{gateway.name} of {record.owner}: age {record.age} us instead of {truth} us"
            )
        self.over.append(record.age - truth)

    def _check_message(self, gateway: Gateway, effect: MessageReceived) -> None:
        if effect.body not in self._messages:
            self.record_violation("mail_made_up", f"{gateway.name} from {effect.sender}")
            return
        to, times = self._messages[effect.body]
        if to != gateway.name:
            self.record_violation("mail_astray", f"received by {gateway.name}, sent to {to}")
        if times:
            self.record_violation("mail_twice", f"{gateway.name} from {effect.sender}")
        self._messages[effect.body] = (to, times + 1)
        self.counts["mail_taken"] += not times

    # ---- the final state

    def _is_record_old(self, gateway: Gateway, owner: Name) -> bool:
        record = gateway.core.records.get(owner, "demand")
        return record is None or record.age > MAX_RECORD_AGE

    def unsettled(self) -> list[str]:
        """Return the views that differ from the truth. A running gateway must be alive in its current generation and
        reachable, a stopped one must not be live, and each gateway must have a recent record of each other."""
        left: list[str] = []
        for gateway in self.wire.running():
            members = gateway.core.table.members()
            for name, other in self.wire.gateways.items():
                if name == gateway.name:
                    continue
                member = members.get(name)
                if not other.up:
                    if member is not None and member.state not in (MemberState.GONE, MemberState.LEFT):
                        left.append(f"{gateway.name} sees {name} as {member.state.value}, but it is down")
                    continue
                if member is None or (member.state, member.generation) != (
                    MemberState.ALIVE,
                    other.core.local_member.generation,
                ):
                    left.append(f"{gateway.name} sees {name} as {member.state.value if member else 'unknown'}")
                elif gateway.core.receives_from(name, gateway.name) is not True:
                    left.append(f"{gateway.name} does not know that {name} receives from it")
                elif other.name in self._publishers and self._is_record_old(gateway, name):
                    left.append(f"{gateway.name} has no record of {name} newer than {MAX_RECORD_AGE // SECOND} s")
        return left

    def healthy_lost(self) -> int:
        """Return the number of pairs in which a running gateway sees another running one as gone, left or unknown."""
        lost = 0
        for gateway in self.wire.running():
            members = gateway.core.table.members()
            for other in self.wire.running():
                member = members.get(other.name)
                lost += member is None or member.state in (MemberState.GONE, MemberState.LEFT)
        return lost

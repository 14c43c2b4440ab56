"""A change of rules by today's way: time, messages and bytes until it is in force at so many coordinators.

The rule book and the register are the real ones, on the simulated net of `rackhub.trials.fleet.twin`, which loses
nothing here. What is counted are bodies of mail and of records, without heads of packets, acknowledgements and repeats:
less than a real link carries. A record on the board counts as one message to each other member, which is the least that
gossip can do.
"""

from collections.abc import Callable, Mapping, Sequence
from typing import Any

import msgspec

from rackhub.fleet.ports import Name
from rackhub.trials.fleet.rules_torture import RulesTestBed
from rackhub.trials.fleet.twin import MS, SECOND, Node
from rackhub.trials.scale.measurement import Measurement, measured

SIZES = (25, 50, 100, 200)
QUICK_SIZES = (5, 6, 7, 8)
CONTENT_SIZES = (1_000, 8_000, 32_000, 96_000)
QUICK_CONTENT_SIZES = (100, 500, 1_000, 2_000)
CONTENT_MEMBERS, QUICK_CONTENT_MEMBERS = 25, 5
VOTERS = 5
CONTENT_BYTES = 1_000  # of the rule book's content, where the number of coordinators grows
FORM = 2 * SECOND
IN_FORCE_AT_MOST = 30 * SECOND
AFTERMATH = 2 * SECOND  # records and answers that follow it are its cost, too
EDIT_PORTION = 100  # bytes of the content that an edit changes


class Traffic(msgspec.Struct):
    """Messages and bytes, in and out together."""

    messages: int = 0
    bytes: int = 0

    def add(self, size: int) -> None:
        self.messages += 1
        self.bytes += size

    def less(self, other: "Traffic") -> "Traffic":
        return Traffic(self.messages - other.messages, self.bytes - other.bytes)


class ChangeCost(msgspec.Struct, frozen=True):
    """One change at one size. `milliseconds`: from the editor's call until the last coordinator has it in force."""

    coordinators: int
    content_bytes: int
    milliseconds: float
    editor: Traffic
    voter: Traffic  # the busiest that is not the editor's
    receiver: Traffic  # the median one that is no voter
    total: Traffic  # each message once


class CountedFleet:
    """A fleet with its rule book, whose traffic is counted at each member."""

    def __init__(self, coordinators: int, voters: int = VOTERS, seed: int = 1):
        self.stand = RulesTestBed(seed, coordinators, min(voters, coordinators))
        self.traffic = {name: Traffic() for name in self.stand.names}
        self.total = Traffic()
        self.version = 0
        for node in self.stand.net.nodes.values():
            self._count_at(node)
        self.stand.run(FORM)

    def _count_at(self, node: Node) -> None:
        send, post = node.send, node.publish

        def counted_send(to: Name, kind: str, body: bytes) -> None:
            self._carried(node.local_name, to, len(body))
            send(to, kind, body)

        def counted_post(kind: str, body: bytes) -> None:
            for name in self.stand.names:
                if name != node.local_name:
                    self._carried(node.local_name, name, len(body))
            post(kind, body)

        node.send, node.publish = counted_send, counted_post  # type: ignore[method-assign]

    def _carried(self, source: Name, to: Name, size: int) -> None:
        self.traffic[source].add(size)
        self.traffic[to].add(size)
        self.total.add(size)

    def _snapshot(self) -> tuple[dict[Name, Traffic], Traffic]:
        kept = {name: Traffic(each.messages, each.bytes) for name, each in self.traffic.items()}
        return kept, Traffic(self.total.messages, self.total.bytes)

    def _in_force_everywhere(self, version: int) -> bool:
        return all(rules.version >= version for rules in self.stand.rules.values())

    def change(self, content_bytes: int) -> ChangeCost:
        """One edit at the last coordinator, which is no voter, on a book with a content of that size."""
        editor = self.stand.names[-1]
        before, total_before = self._snapshot()
        began = self.stand.net.time.now()
        answers: list[Mapping[str, Any]] = []
        self._edit(editor, content_bytes, answers.append)
        wanted = self.version + 1
        if not self.stand.net.time.run(IN_FORCE_AT_MOST, lambda: self._in_force_everywhere(wanted)):
            raise AssertionError(f"version {wanted} is not in force everywhere: {answers}")
        took = (self.stand.net.time.now() - began) / MS
        self.stand.run(AFTERMATH)
        self.version = wanted
        spent = {name: each.less(before[name]) for name, each in self.traffic.items()}
        voters = [spent[name] for name in self.stand.keepers if name != editor]
        receivers = [spent[name] for name in self.stand.names if name not in self.stand.keepers and name != editor]
        return ChangeCost(
            coordinators=len(self.stand.names),
            content_bytes=content_bytes,
            milliseconds=took,
            editor=spent[editor],
            voter=max(voters, key=lambda each: each.bytes),
            receiver=sorted(receivers or voters, key=lambda each: each.bytes)[len(receivers or voters) // 2],
            total=self.total.less(total_before),
        )

    def _edit(self, editor: Name, content_bytes: int, then: Callable[[Mapping[str, Any]], None]) -> None:
        level = self.version + 1
        filler = "x" * max(content_bytes - EDIT_PORTION, 0)
        self.stand.call(
            editor,
            "edit",
            then,
            parts={"shed": {"level": level, "filler": filler}},
            on=self.version,
            id=f"edit-{level}",
            author="operator",
            reason="measured",
        )


def change_cost(coordinators: int, content_bytes: int = CONTENT_BYTES) -> ChangeCost:
    """The second change of a fleet: the first one finds the register empty."""
    fleet = CountedFleet(coordinators)
    fleet.change(content_bytes)
    return fleet.change(content_bytes)


def by_coordinators(costs: Sequence[ChangeCost]) -> list[Measurement]:
    sizes = [cost.coordinators for cost in costs]
    method = (
        f"one edit, {VOTERS} voters, a rule book of {CONTENT_BYTES:,} bytes; real cores on a simulated net "
        f"of 1 to 5 ms; bodies of mail and records, {AFTERMATH // SECOND} s after it included"
    )

    def one(name: str, unit: str, values: Sequence[float]) -> Measurement:
        return measured(f"rules.{name}", unit, "coordinators", sizes, values, method)

    found = [one("in_force", "ms", [cost.milliseconds for cost in costs])]
    for place in ("editor", "voter", "receiver", "total"):
        traffic = [getattr(cost, place) for cost in costs]
        found.append(one(f"{place}_messages", "messages a change", [each.messages for each in traffic]))
        found.append(one(f"{place}_bytes", "bytes a change", [each.bytes for each in traffic]))
    return found


def by_content(costs: Sequence[ChangeCost]) -> list[Measurement]:
    sizes = [cost.content_bytes for cost in costs]
    method = f"one edit of {EDIT_PORTION} bytes at {costs[0].coordinators} coordinators; counted as by coordinators"

    def one(place: str) -> Measurement:
        values = [getattr(cost, place).bytes for cost in costs]
        return measured(
            f"rules.{place}_bytes_by_content", "bytes a change", "bytes of rule book", sizes, values, method
        )

    return [one("editor"), one("receiver")]


def measure(quick: bool = False) -> list[Measurement]:
    sizes = QUICK_SIZES if quick else SIZES
    contents = QUICK_CONTENT_SIZES if quick else CONTENT_SIZES
    members = QUICK_CONTENT_MEMBERS if quick else CONTENT_MEMBERS
    return [
        *by_coordinators([change_cost(size) for size in sizes]),
        *by_content([change_cost(members, content) for content in contents]),
    ]

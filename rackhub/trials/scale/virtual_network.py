"""Processes of a fleet on a simulated network, in virtual time: latencies by distance, cuts, ends, and stalls."""

import heapq
import random
import time
from collections.abc import Callable
from typing import Any

from rackhub.fleet.distribution.events import Event, Received, Tick
from rackhub.fleet.distribution.messages import AnyMessage, Update, encode
from rackhub.fleet.distribution.ports import Core
from rackhub.fleet.link import frames as f
from rackhub.fleet.link.datagram_builder import DatagramBuilder
from rackhub.fleet.link.limits import Limits as LinkLimits
from rackhub.trials.scale.layout import Place

MILLISECOND, SECOND = 1_000, 1_000_000
SAME_ZONE, SAME_REGION, OTHER_REGION = 1 * MILLISECOND, 3 * MILLISECOND, 60 * MILLISECOND  # one way
JITTER = 0.5  # by which a latency is longer at the most
HEADERS = 28  # bytes of IP and UDP for each datagram
RESENDING = 1 * SECOND  # the link resends a page for about so long: what met a cut before its end is lost
STALLED_QUEUE = 2_000  # messages that a socket keeps for a process that stands still


class Process:
    """One process. `perform` does its core's effects. `boot` grows with each start."""

    __slots__ = (
        "place",
        "core",
        "perform",
        "boot",
        "up",
        "stalled",
        "kept",
        "tick_at",
        "bytes_in",
        "bytes_out",
        "seconds",
        "updates_left",
    )

    def __init__(self, place: Place, core: Core, perform: Callable[[Any], None]):
        self.place, self.core, self.perform = place, core, perform
        self.boot, self.up, self.stalled = 1, True, False
        self.kept: list[Event] = []
        self.tick_at = -1
        self.bytes_in = self.bytes_out = 0
        self.seconds = 0.0  # that its core's steps took
        self.updates_left: int | None = None  # that it sends before it ends; None: it goes on


class Network:
    """The clock, what is due, and who may hear whom."""

    def __init__(self, seed: int):
        self.now = 1 * SECOND
        self.processes: dict[str, Process] = {}
        self.messages = 0
        self._random = random.Random(f"{seed}/network")
        self._due: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []
        self._number = 0
        self._cuts: list[frozenset[str]] = []
        self._overheads: dict[tuple[str, str], tuple[int, int]] = {}

    def at(self, when: int, call: Callable[..., None], *arguments: Any) -> None:
        self._number += 1
        heapq.heappush(self._due, (max(when, self.now), self._number, call, arguments))

    def run(self, until: int) -> None:
        while self._due and self._due[0][0] <= until:
            self.now, _, call, arguments = heapq.heappop(self._due)
            call(*arguments)
        self.now = until

    # ---- processes

    def start(self, process: Process) -> None:
        self.processes[process.place.name] = process
        self.hand(process, process.boot, Tick())

    def boot(self, name: str) -> int:
        """Of the process that goes by that name now, or will be the first."""
        process = self.processes.get(name)
        return process.boot if process is not None else 1

    def end(self, name: str) -> None:
        process = self.processes[name]
        process.up = False
        process.boot += 1
        process.kept = []

    def begin(self, name: str, core: Core) -> None:
        """A process that ended starts anew, with a core that knows what its disk has."""
        process = self.processes[name]
        process.core, process.up, process.tick_at = core, True, -1
        self.hand(process, process.boot, Tick())

    def end_while_sending(self, name: str, updates: int) -> None:
        """The process ends in the middle of its next updates, after so many of them."""
        self.processes[name].updates_left = updates

    def stall(self, name: str, seconds: float) -> None:
        self.processes[name].stalled = True
        self.at(self.now + int(seconds * SECOND), self._wake, name)

    def _wake(self, name: str) -> None:
        process = self.processes[name]
        process.stalled = False
        kept, process.kept = process.kept, []
        for event in kept:
            self.hand(process, process.boot, event)

    def hand(self, process: Process, boot: int, event: Event) -> None:
        """An event for the process of that boot number."""
        if not process.up or process.boot != boot:
            return
        if process.stalled:
            if len(process.kept) < STALLED_QUEUE:
                process.kept.append(event)
            return
        began = time.perf_counter()
        effects = process.core.step(self.now, event)
        process.seconds += time.perf_counter() - began
        for effect in effects:
            process.perform(effect)
        due = process.core.due()
        if process.tick_at < 0 or due < process.tick_at:
            process.tick_at = max(due, self.now + MILLISECOND)
            self.at(process.tick_at, self._tick, process, boot, process.tick_at)

    def _tick(self, process: Process, boot: int, when: int) -> None:
        if process.tick_at != when or process.boot != boot:
            return
        process.tick_at = -1
        if process.up and not process.stalled and process.core.due() > self.now:
            process.tick_at = process.core.due()
            self.at(process.tick_at, self._tick, process, boot, process.tick_at)
        else:
            self.hand(process, boot, Tick())

    # ---- messages

    def cut(self, zones: frozenset[str], seconds: float) -> None:
        self._cuts.append(zones)
        self.at(self.now + int(seconds * SECOND), self._cuts.remove, zones)

    def parted(self, one: Place, other: Place) -> bool:
        return any((one.zone in zones) != (other.zone in zones) for zones in self._cuts)

    def send(self, sender: Process, to: str, message: AnyMessage) -> None:
        receiver = self.processes.get(to)
        if receiver is None or not self._still_sends(sender, message):
            return
        self.messages += 1
        there, back = self._wire_bytes(sender.place.name, to, len(encode(message)))
        sender.bytes_out += there
        if not receiver.up or self.parted(sender.place, receiver.place):
            return
        sender.bytes_in += back
        receiver.bytes_in += there
        receiver.bytes_out += back
        event = Received(sender.place.name, message)
        self.at(self.now + self.latency(sender.place, receiver.place), self.hand, receiver, receiver.boot, event)

    def _still_sends(self, sender: Process, message: AnyMessage) -> bool:
        """Whether the sender has not ended by now."""
        if sender.updates_left is not None and sender.up and isinstance(message, Update):
            sender.updates_left -= 1
            if sender.updates_left < 0:
                self.end(sender.place.name)
        return sender.up

    def latency(self, one: Place, other: Place) -> int:
        """One way, in microseconds."""
        if one.zone == other.zone:
            least = SAME_ZONE
        elif one.region == other.region:
            least = SAME_REGION
        else:
            least = OTHER_REGION
        return int(least * (1 + JITTER * self._random.random()))

    def _wire_bytes(self, sender: str, receiver: str, body: int) -> tuple[int, int]:
        """Of one piece of mail and of its acks, by the link's real frames."""
        known = self._overheads.get((sender, receiver))
        if known is None:
            page = f.Page(1 << 16, 1 << 40, 0, 1, "distribution", b"")
            known = (
                _datagram_bytes(sender, receiver, page),
                _datagram_bytes(receiver, sender, f.PageAck(1 << 16, b"", True)),
            )
            self._overheads[sender, receiver] = known
        pages = max(1, -(-body // LinkLimits().page_bytes))
        return body + pages * known[0], pages * known[1]


def _datagram_bytes(sender: str, receiver: str, frame: f.AnyFrame) -> int:
    builder = DatagramBuilder("fleet", sender, receiver)
    builder.add_frame(f.encode(frame))
    return len(builder.build(1 << 40, 1 << 30, 1 << 30, 1 << 10)) + HEADERS

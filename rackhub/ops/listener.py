"""The second address: one line a connection, one line back (DUMP: its figures after it), each within its deadline.

A caller that sends nothing, half a line, too long a line or bytes that are not text is told NO with the reason, or is
closed at its deadline; nothing waits on it but a timer of the reactor.
"""

from twisted.internet.interfaces import IReactorTime
from twisted.internet.protocol import Factory
from twisted.protocols.basic import LineOnlyReceiver

from rackhub.counters import Counters
from rackhub.limits import SECOND, Limits
from rackhub.ops.desk import OpsDesk


class OpsCall(LineOnlyReceiver):
    delimiter = b"\n"

    def __init__(self, factory: "OpsFront"):
        self.front, self.answered = factory, False
        self.MAX_LENGTH = factory.limits.ops_line
        self._due = self._cut = None

    def connectionMade(self) -> None:  # noqa: N802 - Twisted's names
        front = self.front
        if len(front.calls) >= front.limits.ops_connections:
            front.counters["ops_refused"] += 1
            return self._end(b"NO too many calls at once\n")
        front.calls.add(self)
        self._due = front.reactor.callLater(front.limits.ops_answer / SECOND, self._late)

    def lineReceived(self, line: bytes) -> None:  # noqa: N802
        if self.answered:
            return
        self.front.counters.add("ops_calls")
        self._end(self.front.desk.answer(line.rstrip(b"\r")))

    def lineLengthExceeded(self, line: bytes) -> None:  # noqa: N802
        self.front.counters.add("ops_bad")
        self._end(b"NO the call is longer than %d bytes\n" % self.MAX_LENGTH)

    def _late(self) -> None:
        self._due = None
        self.front.counters.add("ops_bad")
        self._end(b"NO half a call, and no end of line in time\n" if self._buffer else b"NO nothing was asked\n")

    def _end(self, answer: bytes) -> None:
        if self.answered:
            return
        self.answered = True
        self.transport.write(answer)
        self.transport.loseConnection()
        self._cut = self.front.reactor.callLater(self.front.limits.ops_linger / SECOND, self.transport.abortConnection)

    def connectionLost(self, reason: object = None) -> None:  # noqa: N802
        self.front.calls.discard(self)
        for call in (self._due, self._cut):
            if call is not None and call.active():
                call.cancel()


class OpsFront(Factory):
    def __init__(self, desk: OpsDesk, reactor: IReactorTime, limits: Limits, counters: Counters):
        self.desk, self.reactor, self.limits, self.counters = desk, reactor, limits, counters
        self.calls: set[OpsCall] = set()

    def buildProtocol(self, addr: object) -> OpsCall:  # noqa: N802
        return OpsCall(self)

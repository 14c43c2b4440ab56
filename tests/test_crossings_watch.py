"""Races in polling the endpoint list: lost answers, a changed resolver, a drain after an outage, lists out of order.

`PlatformSource` polls a fake resolver over real sockets. The fake records each poll with its sender and
answers when the test says so.
"""

import errno
from dataclasses import replace
from types import SimpleNamespace

import pytest
from harness import LIMITS, MS, SETTINGS, FakeClock, spin
from msgspec.structs import replace as limits_with
from test_resolver import answer
from twisted.internet import reactor
from twisted.internet.error import CannotListenError
from twisted.internet.protocol import DatagramProtocol
from twisted.internet.task import Clock

from rackhub import interface as t
from rackhub.core.coordinator import Coordinator
from rackhub.core.source import EndpointSnapshot
from rackhub.core.timers import Timers
from rackhub.counters import Counters
from rackhub.net.platform_source import PlatformSource, ReloadedFile
from rackhub.net.poll_schedule import PollSchedule
from rackhub.net.resolver import PendingPoll, ResolverClient

A, B = ("a", "127.0.0.1", 0, 0), ("b", "127.0.0.2", 0, 0)
B_DRAINING = ("b", "127.0.0.2", 1, 0)


class FakeResolver(DatagramProtocol):
    """A resolver. `polls` holds the id and sender of each poll; it does not answer the `ignored_senders`."""

    def __init__(self):
        self.polls, self.ignored_senders, self.unresponsive = [], set(), False
        self.rev, self.engines = 3, (A, B)
        self.port = reactor.listenUDP(0, self, interface="127.0.0.1")
        self.address = ("127.0.0.1", self.port.getHost().port)

    def datagramReceived(self, packet, addr):
        self.polls.append((int.from_bytes(packet[:2], "big"), addr))
        if not self.unresponsive and addr not in self.ignored_senders:
            self.send_list()

    def send_list(self, which=-1, rev=None, engines=None):
        number, addr = self.polls[which]
        self.transport.write(answer(number, rev or self.rev, *(self.engines if engines is None else engines)), addr)

    def senders(self):
        return list(dict.fromkeys(addr for _, addr in self.polls))


class TimedReactor:
    """The reactor's sockets with a clock that the test advances."""

    def __init__(self):
        self.clock, self.out_of_descriptors, self.ports = Clock(), False, []
        self.callLater, self.seconds = self.clock.callLater, self.clock.seconds

    def listenUDP(self, *args, **more):
        if self.out_of_descriptors:
            raise CannotListenError("", 0, OSError(errno.EMFILE, "too many open files"))
        self.ports.append(reactor.listenUDP(*args, **more))
        return self.ports[-1]


class WatchedList:
    def __init__(self, resolver, start=None, on_change=None):
        self.time, self.counters, self.lists = TimedReactor(), Counters(), []
        self.server = resolver.address
        self.configured = start or EndpointSnapshot(3, (), {})
        self.platform = PlatformSource(
            self.time,
            SETTINGS,
            start or EndpointSnapshot(3, (), {}),
            resolver.address,
            LIMITS,
            self.counters,
            lambda: ReloadedFile(self.server, self.configured),
        )
        self.platform.subscribe(on_change or self.lists.append)

    def answers_received(self):
        return self.counters["dns_in"]

    def open_ports(self):
        return [port for port in self.time.ports if port.connected]

    def advance_time(self, micros, *resolvers, step=5 * MS):
        """Advance the clock in steps, exchanging packets after each."""
        for _ in range(micros // step):
            self.time.clock.advance(step / 1e6)
            self.exchange_packets(*resolvers)

    def exchange_packets(self, *resolvers):
        """Wait until the resolvers have received all polls, then read their answers in one event-loop iteration."""
        spin(lambda: self.counters["dns_sent"] <= sum(len(resolver.polls) for resolver in resolvers))
        reactor.iterate(0)


@pytest.fixture
def resolver():
    made = FakeResolver()
    yield made
    made.port.stopListening()


@pytest.fixture
def make_watch():
    made = []

    def build(*args, **more):
        made.append(WatchedList(*args, **more))
        return made[-1]

    yield build
    for watch in made:
        for port in watch.open_ports():
            port.stopListening()
    spin(lambda: not any(watch.open_ports() for watch in made))


@pytest.mark.parametrize("answered_before", [False, True], ids=["from the first call", "after an answer"])
def test_a_socket_that_receives_no_more_answers_is_replaced_in_time(resolver, make_watch, answered_before):
    """It is replaced within 0.67 s, so a drain comes within the 1.5 s to its notification."""
    resolver.unresponsive = not answered_before
    watch = make_watch(resolver)
    watch.exchange_packets(resolver)
    if answered_before:
        spin(lambda: watch.lists)
    else:
        assert watch.answers_received() == 0
    resolver.unresponsive, resolver.rev, resolver.engines = False, 4, (A, B_DRAINING)
    resolver.ignored_senders = set(resolver.senders())
    watch.advance_time(LIMITS.poll_interval + 7 * LIMITS.poll_retry_interval + 10 * MS, resolver)
    spin(lambda: watch.lists and watch.lists[-1].revision == 4)
    assert {entry.engine: entry.state for entry in watch.lists[-1].entries} == {"a": "Ready", "b": "Terminating"}
    spin(lambda: len(watch.open_ports()) == 1)  # The former socket is closed.
    assert watch.counters["dns_sockets"] == 1 and len(resolver.senders()) == 2


def test_an_unreachable_resolver_is_polled_at_a_bounded_rate_on_few_sockets(resolver, make_watch):
    resolver.unresponsive = True
    watch = make_watch(resolver)
    watch.advance_time(20_000 * MS, resolver, step=20 * MS)
    before, sockets = len(resolver.polls), watch.counters["dns_sockets"]
    watch.advance_time(20_000 * MS, resolver, step=20 * MS)
    assert 20 <= len(resolver.polls) - before <= 60
    assert 5 <= watch.counters["dns_sockets"] - sockets <= 20 and len(watch.open_ports()) == LIMITS.max_resolver_sockets
    resolver.unresponsive, resolver.rev, resolver.engines = False, 9, (A, B_DRAINING)  # The resolver is back.
    watch.advance_time(LIMITS.max_poll_retry_interval + 20 * MS, resolver, step=20 * MS)
    spin(lambda: [snapshot.revision for snapshot in watch.lists] == [9] and len(watch.open_ports()) == 1)


@pytest.mark.parametrize("delay", [500 * MS, 1_400 * MS])
def test_answers_slower_than_the_change_of_sockets_are_received(resolver, make_watch, delay):
    """Guards against sockets that are closed before a slow answer arrives: no list was ever received."""
    resolver.unresponsive = True
    watch = make_watch(resolver)
    due_times, answered = [], 0
    for _ in range(5_000 // 20):
        watch.advance_time(20 * MS, resolver, step=20 * MS)
        due_times += [watch.time.clock.seconds() + delay / 1e6] * (len(resolver.polls) - len(due_times))
        while answered < len(due_times) and due_times[answered] <= watch.time.clock.seconds():
            resolver.send_list(answered, rev=5)
            answered += 1
            reactor.iterate(0)
    spin(lambda: [snapshot.revision for snapshot in watch.lists] == [5])


def test_a_slow_answer_to_a_former_socket_is_received(resolver, make_watch):
    """The answer comes after later polls and a change of sockets, while its socket is still open."""
    resolver.unresponsive = True
    watch = make_watch(resolver)
    watch.advance_time(4_000 * MS, resolver, step=20 * MS)
    calls, sockets = len(resolver.polls), watch.counters["dns_sockets"]
    for _ in range(200):
        if watch.counters["dns_sockets"] == sockets:
            watch.advance_time(20 * MS, resolver, step=20 * MS)
    first = len(resolver.polls) - 1
    watch.advance_time(LIMITS.max_poll_retry_interval + 200 * MS, resolver, step=20 * MS)
    assert len(resolver.polls) > first + 1 > calls and watch.counters["dns_sockets"] == sockets + 1
    resolver.send_list(first, rev=5)
    spin(lambda: [snapshot.revision for snapshot in watch.lists] == [5])


def test_without_a_free_descriptor_the_present_socket_stays_in_use(resolver, make_watch):
    resolver.unresponsive = True
    watch = make_watch(resolver)
    watch.time.out_of_descriptors = True
    watch.advance_time(3_000 * MS, resolver, step=20 * MS)
    assert len(watch.time.ports) == 1 and len(resolver.senders()) == 1
    resolver.unresponsive, resolver.rev = False, 7
    watch.advance_time(LIMITS.max_poll_retry_interval + 20 * MS, resolver, step=20 * MS)
    spin(lambda: [snapshot.revision for snapshot in watch.lists] == [7])


def test_late_duplicate_and_malformed_answers_do_not_undo_the_newest_list(resolver, make_watch):
    """An older list after a newer one, a duplicate and a truncated packet change nothing."""
    resolver.unresponsive = True
    watch = make_watch(resolver)
    watch.advance_time(250 * MS, resolver)
    assert len(resolver.polls) >= 3
    resolver.send_list(2, rev=6, engines=(A, B_DRAINING))
    resolver.send_list(0, rev=5, engines=(A, B))
    resolver.send_list(1, rev=6, engines=(A, B_DRAINING))
    resolver.transport.write(answer(resolver.polls[1][0], 7, A)[:-3], resolver.polls[1][1])
    spin(lambda: watch.answers_received() == 4)
    assert [snapshot.revision for snapshot in watch.lists] == [6]
    assert (watch.counters["dns_old"], watch.counters["dns_same"], watch.counters["dns_bad"]) == (1, 1, 1)


@pytest.mark.parametrize("bug", [False, True])
def test_an_answer_of_the_old_resolver_after_a_reload_is_dropped(resolver, make_watch, bug):
    """The answer is in the kernel when SIGHUP changes the resolver, and a poll of the new one has the same id."""
    other = FakeResolver()
    resolver.unresponsive = other.unresponsive = True
    watch = make_watch(resolver)
    watch.exchange_packets(resolver)
    resolver.send_list(rev=9, engines=(A,))
    spin(lambda: resolver.transport is not None)
    client = watch.platform._resolver
    watch.server = other.address
    watch.platform.reload()
    if bug:  # a reload that does not change the address
        client._resolver_address = resolver.address
    client._random.randrange = lambda limit: resolver.polls[0][0]
    client._pending = {resolver.polls[0][0]: PendingPoll(0.0, 0)}
    spin(lambda: watch.answers_received())
    assert [snapshot.revision for snapshot in watch.lists] == [9] * bug
    if not bug:
        watch.advance_time(10 * MS, resolver, other)
        other.send_list(rev=4, engines=(A, B_DRAINING))
        spin(lambda: [snapshot.revision for snapshot in watch.lists] == [4])
    other.port.stopListening()


def test_a_list_whose_application_failed_is_applied_again(resolver, make_watch):
    """Guards against a process that keeps a partly applied list, or stops polling, after an exception."""
    applied = []

    def on_change(snapshot):
        applied.append(snapshot.revision)
        if len(applied) == 1:
            raise RuntimeError("partly applied")

    watch = make_watch(resolver, on_change=on_change)
    watch.exchange_packets(resolver)
    spin(lambda: applied == [3])
    watch.advance_time(2 * LIMITS.poll_interval, resolver)
    assert applied == [3, 3]


def test_polling_continues_when_the_resolver_s_port_is_closed(resolver, make_watch):
    """Guards against polling that ends at the kernel's report of an unreachable port."""
    other = FakeResolver()
    gone = other.address
    other.port.stopListening()
    spin(lambda: not other.port.connected)
    watch = make_watch(resolver)
    watch.exchange_packets(resolver)
    watch.server = gone
    watch.platform.reload()
    for _ in range(200):
        watch.time.clock.advance(0.02)
        reactor.iterate(0)
    sent = watch.counters["dns_sent"]
    assert sent > 6
    resolver.rev, resolver.engines, watch.server = 8, (A, B_DRAINING), resolver.address
    watch.platform.reload()
    watch.time.clock.advance(0.02)
    spin(lambda: watch.lists[-1].revision == 8)


def test_a_drain_in_the_first_list_after_an_outage_stops_sending_to_that_engine(resolver, make_watch):
    """One list reports the drain of an engine and a new engine, which then gets all requests."""
    clock, sent = FakeClock(), []

    class Port:
        send = sent.append

        def __getattr__(self, name):
            return lambda *_: None

    core = Coordinator(SETTINGS, 7, clock, Timers(clock, clock), LIMITS, Counters())
    core.start(Port(), [t.EngineEntry(name, "z", "std") for name in ("b", "c")], 3)
    resolver.unresponsive = True
    watch = make_watch(resolver, on_change=lambda snapshot: core.update_endpoints(snapshot.entries, snapshot.revision))
    watch.advance_time(5_000 * MS, resolver, step=20 * MS)
    resolver.unresponsive, resolver.rev, resolver.engines = False, 8, (A, B_DRAINING)
    watch.advance_time(LIMITS.max_poll_retry_interval + 20 * MS, resolver, step=20 * MS)
    spin(lambda: core.counters["lists_told"] == 1)
    from rackhub.core.request import Query

    for number in range(20):
        core.submit(
            Query(
                f"{number:016x}",
                "lookup",
                b"x",
                clock.now() + 3_000 * MS,
                SimpleNamespace(reading_paused=False, may_have_unread_input=False, rejected=lambda *_: None),
                tenant="acme",
            )
        )
    assert {attempt.engine for attempt in sent} == {"a"} and len(sent) == 20


def test_the_time_to_a_new_socket_is_the_documented_bound():
    """Computes the bound for the longest possible delays, without jitter."""
    for polls in (2, 3, 5):
        limits = limits_with(LIMITS, failed_polls_before_new_socket=polls)
        schedule = PollSchedule(limits, lambda: 0.0)
        elapsed, calls = schedule.answer_received(), 0
        while not schedule.needs_new_socket():
            elapsed, calls = elapsed + schedule.poll_sent(), calls + 1
        assert calls == polls and elapsed == limits.poll_interval + sum(
            min(limits.poll_retry_interval << step, limits.max_poll_retry_interval) for step in range(polls)
        )
    assert LIMITS.poll_interval + 7 * LIMITS.poll_retry_interval < 700 * MS


# ---- injected bugs, which the tests above have to detect


def test_an_injected_bug_that_accepts_older_lists_is_detected(resolver, make_watch, monkeypatch):
    inner = ResolverClient.datagramReceived

    def forgets(self, packet, addr):
        self._last = self._last._replace(revision=0)
        inner(self, packet, addr)

    monkeypatch.setattr(ResolverClient, "datagramReceived", forgets)
    with pytest.raises(AssertionError):
        test_late_duplicate_and_malformed_answers_do_not_undo_the_newest_list(resolver, make_watch)


def test_an_injected_bug_that_ignores_drains_is_detected(resolver, make_watch, monkeypatch):
    inner = Coordinator.update_endpoints
    monkeypatch.setattr(
        Coordinator,
        "update_endpoints",
        lambda self, entries, rev: inner(self, [replace(entry, state="Ready") for entry in entries], rev),
    )
    with pytest.raises(AssertionError):
        test_a_drain_in_the_first_list_after_an_outage_stops_sending_to_that_engine(resolver, make_watch)

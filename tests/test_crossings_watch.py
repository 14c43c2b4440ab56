"""Two events that cross on the way of the list: silence, a new resolver, a drain told first thing, lists out of order.

The resolver's client on real sockets, with a resolver in the test's hands: it keeps each question until the test has it
answered, and knows from which socket it came.
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
from rackhub.net.resolver import PendingPoll, Resolver

A, B = ("a", "127.0.0.1", 0, 0), ("b", "127.0.0.2", 0, 0)
DRAINS = ("b", "127.0.0.2", 1, 0)


class Desk(DatagramProtocol):
    """A resolver: `asked` holds the questions by number and sender, `deaf` the senders it has stopped answering."""

    def __init__(self):
        self.asked, self.deaf, self.silent = [], set(), False
        self.rev, self.engines = 3, (A, B)
        self.port = reactor.listenUDP(0, self, interface="127.0.0.1")
        self.address = ("127.0.0.1", self.port.getHost().port)

    def datagramReceived(self, packet, addr):
        self.asked.append((int.from_bytes(packet[:2], "big"), addr))
        if not self.silent and addr not in self.deaf:
            self.say()

    def say(self, which=-1, rev=None, engines=None):
        number, addr = self.asked[which]
        self.transport.write(answer(number, rev or self.rev, *(self.engines if engines is None else engines)), addr)

    def senders(self):
        return list(dict.fromkeys(addr for _, addr in self.asked))


class Timed:
    """The reactor's sockets with the time in the test's hands."""

    def __init__(self):
        self.clock, self.full, self.ports = Clock(), False, []
        self.callLater, self.seconds = self.clock.callLater, self.clock.seconds

    def listenUDP(self, *args, **more):
        if self.full:
            raise CannotListenError("", 0, OSError(errno.EMFILE, "too many open files"))
        self.ports.append(reactor.listenUDP(*args, **more))
        return self.ports[-1]


class Watch:
    def __init__(self, desk, start=None, told=None):
        self.time, self.counters, self.lists = Timed(), Counters(), []
        self.moved = desk.address
        self.configured = start or EndpointSnapshot(3, (), {})
        self.platform = PlatformSource(
            self.time,
            SETTINGS,
            start or EndpointSnapshot(3, (), {}),
            desk.address,
            LIMITS,
            self.counters,
            lambda: ReloadedFile(self.moved, self.configured),
        )
        self.platform.subscribe(told or self.lists.append)

    def heard(self):
        return self.counters["dns_in"]

    def open(self):
        return [port for port in self.time.ports if port.connected]

    def pass_by(self, micros, *desks, step=5 * MS):
        """Time goes by; what is asked meanwhile reaches the resolver, and what that answers is read."""
        for _ in range(micros // step):
            self.time.clock.advance(step / 1e6)
            self.settle(*desks)

    def settle(self, *desks):
        """Until all that was sent is where it was sent to. Loopback holds it in the kernel: one turn reads it."""
        spin(lambda: self.counters["dns_sent"] <= sum(len(desk.asked) for desk in desks))
        reactor.iterate(0)


@pytest.fixture
def desk():
    made = Desk()
    yield made
    made.port.stopListening()


@pytest.fixture
def watches():
    made = []

    def build(*args, **more):
        made.append(Watch(*args, **more))
        return made[-1]

    yield build
    for watch in made:
        for port in watch.open():
            port.stopListening()
    spin(lambda: not any(watch.open() for watch in made))


@pytest.mark.parametrize("begun", [False, True], ids=["from the first call", "after an answer"])
def test_a_socket_whose_answers_stop_for_ever_is_left_and_the_list_goes_on(desk, watches, begun):
    """It is noticed within 0.67 s, and a drain told then is here in the 1.5 s after which it counts as told."""
    desk.silent = not begun
    watch = watches(desk)
    watch.settle(desk)
    if begun:
        spin(lambda: watch.lists)
    else:
        assert watch.heard() == 0
    desk.silent, desk.rev, desk.engines = False, 4, (A, DRAINS)
    desk.deaf = set(desk.senders())
    watch.pass_by(LIMITS.poll_interval + 7 * LIMITS.poll_retry_interval + 10 * MS, desk)
    spin(lambda: watch.lists and watch.lists[-1].revision == 4)
    assert {entry.engine: entry.state for entry in watch.lists[-1].entries} == {"a": "Ready", "b": "Terminating"}
    spin(lambda: len(watch.open()) == 1)  # the one before is closed
    assert watch.counters["dns_sockets"] == 1 and len(desk.senders()) == 2


def test_a_resolver_that_is_away_is_asked_for_ever_at_a_bounded_rate_on_a_few_sockets(desk, watches):
    desk.silent = True
    watch = watches(desk)
    watch.pass_by(20_000 * MS, desk, step=20 * MS)
    before, sockets = len(desk.asked), watch.counters["dns_sockets"]
    watch.pass_by(20_000 * MS, desk, step=20 * MS)
    assert 20 <= len(desk.asked) - before <= 60
    assert 5 <= watch.counters["dns_sockets"] - sockets <= 20 and len(watch.open()) == LIMITS.max_resolver_sockets
    desk.silent, desk.rev, desk.engines = False, 9, (A, DRAINS)  # and the first list of the one that is back counts
    watch.pass_by(LIMITS.max_poll_retry_interval + 20 * MS, desk, step=20 * MS)
    spin(lambda: [listing.revision for listing in watch.lists] == [9] and len(watch.open()) == 1)


@pytest.mark.parametrize("delay", [500 * MS, 1_400 * MS])
def test_answers_that_are_always_slower_than_the_step_to_another_socket_are_heard(desk, watches, delay):
    """Each one came to a socket that was closed by then, and no list was ever heard."""
    desk.silent = True
    watch = watches(desk)
    due, said = [], 0
    for _ in range(5_000 // 20):
        watch.pass_by(20 * MS, desk, step=20 * MS)
        due += [watch.time.clock.seconds() + delay / 1e6] * (len(desk.asked) - len(due))
        while said < len(due) and due[said] <= watch.time.clock.seconds():
            desk.say(said, rev=5)
            said += 1
            reactor.iterate(0)
    spin(lambda: [listing.revision for listing in watch.lists] == [5])


def test_an_answer_that_is_slow_still_finds_who_asked(desk, watches):
    """Later than any repeat of the question, and before its socket is left."""
    desk.silent = True
    watch = watches(desk)
    watch.pass_by(4_000 * MS, desk, step=20 * MS)
    calls, sockets = len(desk.asked), watch.counters["dns_sockets"]
    for _ in range(200):
        if watch.counters["dns_sockets"] == sockets:
            watch.pass_by(20 * MS, desk, step=20 * MS)
    first = len(desk.asked) - 1
    watch.pass_by(LIMITS.max_poll_retry_interval + 200 * MS, desk, step=20 * MS)
    assert len(desk.asked) > first + 1 > calls and watch.counters["dns_sockets"] == sockets + 1
    desk.say(first, rev=5)
    spin(lambda: [listing.revision for listing in watch.lists] == [5])


def test_where_no_descriptor_is_free_the_socket_that_is_there_goes_on(desk, watches):
    desk.silent = True
    watch = watches(desk)
    watch.time.full = True
    watch.pass_by(3_000 * MS, desk, step=20 * MS)
    assert len(watch.time.ports) == 1 and len(desk.senders()) == 1
    desk.silent, desk.rev = False, 7
    watch.pass_by(LIMITS.max_poll_retry_interval + 20 * MS, desk, step=20 * MS)
    spin(lambda: [listing.revision for listing in watch.lists] == [7])


def test_answers_that_cross_change_nothing_back(desk, watches):
    """An older list after a newer one, a packet read twice, one that can't be read: the newest holds."""
    desk.silent = True
    watch = watches(desk)
    watch.pass_by(250 * MS, desk)
    assert len(desk.asked) >= 3
    desk.say(2, rev=6, engines=(A, DRAINS))
    desk.say(0, rev=5, engines=(A, B))
    desk.say(1, rev=6, engines=(A, DRAINS))
    desk.transport.write(answer(desk.asked[1][0], 7, A)[:-3], desk.asked[1][1])
    spin(lambda: watch.heard() == 4)
    assert [listing.revision for listing in watch.lists] == [6]
    assert (watch.counters["dns_old"], watch.counters["dns_same"], watch.counters["dns_bad"]) == (1, 1, 1)


@pytest.mark.parametrize("planted", [False, True])
def test_an_answer_of_the_old_resolver_that_is_on_its_way_at_a_reload_is_dropped(desk, watches, planted):
    """It is in the kernel as SIGHUP moves discovery; also where the new one is asked by the same number."""
    other = Desk()
    desk.silent = other.silent = True
    watch = watches(desk)
    watch.settle(desk)
    desk.say(rev=9, engines=(A,))
    spin(lambda: desk.transport is not None)
    resolver = watch.platform._resolver
    watch.moved = other.address
    watch.platform.reload()
    if planted:  # a reload that forgets where it asks
        resolver._server = desk.address
    resolver._random.randrange = lambda most: desk.asked[0][0]
    resolver._pending = {desk.asked[0][0]: PendingPoll(0.0, 0)}
    spin(lambda: watch.heard())
    assert [listing.revision for listing in watch.lists] == [9] * planted
    if not planted:
        watch.pass_by(10 * MS, desk, other)
        other.say(rev=4, engines=(A, DRAINS))
        spin(lambda: [listing.revision for listing in watch.lists] == [4])
    other.port.stopListening()


def test_a_list_that_could_not_be_taken_in_is_told_again(desk, watches):
    """A fault where it is taken in must not leave the process with half of it for good, nor end the asking."""
    took = []

    def told(listing):
        took.append(listing.revision)
        if len(took) == 1:
            raise RuntimeError("half taken in")

    watch = watches(desk, told=told)
    watch.settle(desk)
    spin(lambda: took == [3])
    watch.pass_by(2 * LIMITS.poll_interval, desk)
    assert took == [3, 3]


def test_a_resolver_s_port_that_nobody_listens_on_ends_nothing(desk, watches):
    """What the kernel tells of it is no reason to stop asking."""
    other = Desk()
    gone = other.address
    other.port.stopListening()
    spin(lambda: not other.port.connected)
    watch = watches(desk)
    watch.settle(desk)
    watch.moved = gone
    watch.platform.reload()
    for _ in range(200):
        watch.time.clock.advance(0.02)
        reactor.iterate(0)
    sent = watch.counters["dns_sent"]
    assert sent > 6
    desk.rev, desk.engines, watch.moved = 8, (A, DRAINS), desk.address
    watch.platform.reload()
    watch.time.clock.advance(0.02)
    spin(lambda: watch.lists[-1].revision == 8)


def test_the_first_list_after_a_silence_may_tell_of_a_drain_and_nothing_more_is_sent_there(desk, watches):
    """A drain and a new engine in one list: what comes then goes to the new one."""
    clock, sent = FakeClock(), []

    class Port:
        send = sent.append

        def __getattr__(self, name):
            return lambda *_: None

    core = Coordinator(SETTINGS, 7, clock, Timers(clock, clock), LIMITS, Counters())
    core.start(Port(), [t.EngineEntry(name, "z", "std") for name in ("b", "c")], 3)
    desk.silent = True
    watch = watches(desk, told=lambda listing: core.update_endpoints(listing.entries, listing.revision))
    watch.pass_by(5_000 * MS, desk, step=20 * MS)
    desk.silent, desk.rev, desk.engines = False, 8, (A, DRAINS)
    watch.pass_by(LIMITS.max_poll_retry_interval + 20 * MS, desk, step=20 * MS)
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


def test_the_bound_on_how_long_a_dead_socket_is_asked_on_is_the_one_written():
    """The worst draw of chance: no call is brought forward."""
    for polls in (2, 3, 5):
        limits = limits_with(LIMITS, failed_polls_before_new_socket=polls)
        asking = PollSchedule(limits, lambda: 0.0)
        spent, calls = asking.answer_received(), 0
        while not asking.needs_new_socket():
            spent, calls = spent + asking.poll_sent(), calls + 1
        assert calls == polls and spent == limits.poll_interval + sum(
            min(limits.poll_retry_interval << turn, limits.max_poll_retry_interval) for turn in range(polls)
        )
    assert LIMITS.poll_interval + 7 * LIMITS.poll_retry_interval < 700 * MS


# ---- planted mistakes: each of these tests can fail


def test_a_planted_list_that_goes_back_is_seen(desk, watches, monkeypatch):
    inner = Resolver.datagramReceived

    def forgets(self, packet, addr):
        self._last = self._last._replace(revision=0)
        inner(self, packet, addr)

    monkeypatch.setattr(Resolver, "datagramReceived", forgets)
    with pytest.raises(AssertionError):
        test_answers_that_cross_change_nothing_back(desk, watches)


def test_a_planted_module_that_is_not_told_of_drains_is_seen(desk, watches, monkeypatch):
    inner = Coordinator.update_endpoints
    monkeypatch.setattr(
        Coordinator,
        "update_endpoints",
        lambda self, entries, rev: inner(self, [replace(entry, state="Ready") for entry in entries], rev),
    )
    with pytest.raises(AssertionError):
        test_the_first_list_after_a_silence_may_tell_of_a_drain_and_nothing_more_is_sent_there(desk, watches)

"""Polling the endpoint list by DNS: the parsing of answers, the schedule of polls, and answers to be ignored."""

import random

import pytest
from harness import LIMITS
from hypothesis import given, settings
from hypothesis import strategies as st
from twisted.internet.task import Clock
from twisted.names import dns

from rackhub.core.source import EndpointSnapshot
from rackhub.counters import Counters
from rackhub.net.dns_protocol import SERVICE, InvalidAnswerError, encode_query, parse_answer
from rackhub.net.poll_schedule import PollSchedule
from rackhub.net.resolver import ResolverClient


def answer(number, serial, *engines, rcode=0, drop=()):
    """Return an answer of the resolver with compressed names.

    An engine is (name, address, priority, started[, port]).
    """
    message = dns.Message(id=number, answer=1, rCode=rcode, maxSize=65_000)
    message.queries = [dns.Query(SERVICE, dns.SRV, dns.IN)]
    for name, address, priority, started, *port in engines:
        host = f"{name}.east.hosts".encode()
        srv = dns.Record_SRV(priority, 40, port[0] if port else 5050, host)
        message.answers.append(dns.RRHeader(SERVICE, dns.SRV, dns.IN, 0, srv))
        message.additional += [
            dns.RRHeader(host, dns.A, dns.IN, 0, dns.Record_A(address)),
            dns.RRHeader(host, dns.TXT, dns.IN, 0, dns.Record_TXT(b"kind=std", b"cell=2", b"started=%d" % started)),
        ]
    message.authority = [dns.RRHeader(b"cluster.lan", dns.SOA, dns.IN, 0, dns.Record_SOA(b"a", b"b", serial))]
    for section in ("answers", "authority", "additional"):
        setattr(message, section, [record for record in getattr(message, section) if record.type not in drop])
    return message.toStr()


A, B = ("a", "127.0.0.1", 0, 0), ("b", "127.0.0.2", 1, 1_700_000_000_123)


class PolledResolver:
    """A `ResolverClient` with its transport in memory."""

    def __init__(self, seed=1):
        self.clock, self.counters, self.lists, self.sent = Clock(), Counters(), [], []
        self.resolver = ResolverClient(
            self.clock, ("127.0.0.9", 53), EndpointSnapshot(3, (), {}), self.lists.append, LIMITS, self.counters
        )
        self.resolver._schedule = PollSchedule(LIMITS, random.Random(seed).random)
        self.transport, self.resolver.transport = self, self
        self.resolver.startProtocol()

    def write(self, packet, server):
        self.sent.append(packet)
        self.server = server

    @property
    def number(self):
        return int.from_bytes(self.sent[-1][:2], "big")

    def receive(self, packet):
        self.resolver.datagramReceived(packet, self.server)
        return self.lists


def test_encode_query_is_a_valid_srv_query():
    message = dns.Message()
    message.fromStr(encode_query(513))
    assert message.id == 513 and message.recDes and len(message.queries) == 1
    assert (message.queries[0].name.name, message.queries[0].type) == (SERVICE, dns.SRV)


def test_parse_answer_returns_all_entries():
    snapshot = parse_answer(answer(1, 41, A, B))
    first, second = snapshot.entries
    assert (first.engine, first.zone, first.kind, first.cell, first.state, first.size, first.started_at) == (
        "a",
        "east",
        "std",
        2,
        "Ready",
        4.0,
        0,
    )
    assert (second.state, second.started_at) == ("Terminating", 1_700_000_000_123_000)
    assert snapshot.revision == 41 and snapshot.addresses == {"a": ("127.0.0.1", 5050), "b": ("127.0.0.2", 5050)}


def test_parse_answer_accepts_an_empty_list():
    assert parse_answer(answer(1, 41)).entries == ()


@pytest.mark.parametrize(
    "packet",
    [
        answer(1, 41, A, rcode=2),
        answer(1, 41, A, drop=(dns.SOA,)),
        answer(1, 41, A, drop=(dns.A,)),
        answer(1, 41, A, drop=(dns.TXT,)),
        answer(1, 41, ("a", "127.0.0.1", 7, 0)),
        encode_query(1),
        b"",
        b"\0" * 12,
    ],
)
def test_parse_answer_rejects_incomplete_answers(packet):
    with pytest.raises(InvalidAnswerError):
        parse_answer(packet)


@settings(derandomize=True, max_examples=300, deadline=None, database=None)
@given(st.data())
def test_parse_answer_raises_only_invalid_answer_error(data):
    packet = bytearray(answer(1, 41, A, B))
    for _ in range(data.draw(st.integers(0, 4))):
        packet[data.draw(st.integers(0, len(packet) - 1))] = data.draw(st.integers(0, 255))
    try:
        parse_answer(bytes(packet[: data.draw(st.integers(0, len(packet)))]))
    except InvalidAnswerError:
        pass


def test_polls_are_retried_and_an_answer_to_any_recent_one_is_accepted():
    """Guards against a lost packet that delays a list until the coordinator counts as notified of it."""
    polled = PolledResolver()
    first = polled.number
    for step in range(5):
        polled.clock.advance((LIMITS.poll_retry_interval << step) / 1e6)
    assert len(polled.sent) == 6 and polled.server == ("127.0.0.9", 53)
    assert len(polled.receive(answer(first, 4, A))) == 1


def test_polls_are_rare_after_a_valid_answer_and_frequent_after_an_invalid_one():
    polled = PolledResolver()
    polled.receive(answer(polled.number, 4, A))
    polled.clock.advance(LIMITS.poll_retry_interval / 1e6)
    assert len(polled.sent) == 1
    polled.clock.advance(LIMITS.poll_interval / 1e6)
    assert len(polled.sent) == 2
    polled.receive(answer(polled.number, 5, A, rcode=2))
    polled.receive(answer(polled.number, 3, A))  # an answer of a server that is behind
    polled.clock.advance(LIMITS.poll_retry_interval / 1e6)
    assert len(polled.sent) == 3
    polled.receive(answer(polled.number, 4, A))
    polled.clock.advance(LIMITS.poll_retry_interval / 1e6)
    assert len(polled.sent) == 3


@pytest.mark.parametrize("answers, min_rate, max_rate", [(True, 150, 200), (False, 60, 110)])
def test_forty_coordinators_poll_at_a_bounded_and_even_rate(answers, min_rate, max_rate):
    """Guards against retries 60 ms after every failed poll: an overloaded resolver received 660 polls per second."""
    fleet = [PolledResolver(seed) for seed in range(40)]
    polls = []
    for _ in range(400):
        for polled in fleet:
            before = len(polled.sent)
            polled.clock.advance(0.01)
            if answers and len(polled.sent) > before:
                polled.receive(answer(polled.number, 4, A))
        polls.append(sum(len(polled.sent) for polled in fleet))
    seconds = [polls[at + 100] - polls[at] for at in range(100, 300)]
    assert min_rate <= min(seconds) and max(seconds) <= max_rate
    per_step = [polls[at + 1] - polls[at] for at in range(200, 399)]
    assert max(per_step) <= 12  # The 40 coordinators do not poll in step.


def test_polls_after_a_long_outage_are_at_most_the_maximum_interval_apart():
    polled = PolledResolver()
    polled.clock.advance(20)
    for _ in range(10):
        polled.clock.advance(0.06)
    before = len(polled.sent)
    polled.clock.advance(LIMITS.max_poll_retry_interval / 1e6)
    assert len(polled.sent) > before  # The list comes at most half a second after the resolver answers again.


def test_the_longest_answer_is_accepted():
    engines = [(f"s-{i:08x}", f"127.0.{i // 250}.{i % 250 + 1}", 0, 0) for i in range(100)]
    packet = answer(1, 4, *engines)
    while len(packet) > 8_000:
        engines.pop()
        packet = answer(1, 4, *engines)
    polled = PolledResolver()
    listed = polled.receive(answer(polled.number, 4, *engines))
    assert len(engines) >= 60 and len(listed[0].entries) == len(engines)


def test_a_list_with_an_engine_twice_is_rejected(caplog):
    polled = PolledResolver()
    with caplog.at_level("INFO", logger="rackhub"):
        assert polled.receive(answer(polled.number, 4, A, A)) == []
    assert polled.counters["dns_bad"] == 1 and "'a' has two SRV records" in caplog.text


def test_an_empty_list_is_applied_and_logged(caplog):
    polled = PolledResolver()
    polled.receive(answer(polled.number, 4, A))
    with caplog.at_level("INFO", logger="rackhub"):
        assert polled.receive(answer(polled.number, 5))[-1].entries == ()
    assert polled.counters["lists_empty"] == 1 and "revision 5 names no engine" in caplog.text


def test_a_changed_resolver_is_polled_at_once_and_the_old_one_ignored():
    """After a reload the revisions continue, so an older list of the new resolver is ignored."""
    polled = PolledResolver()
    polled.receive(answer(polled.number, 5, A))
    polled.resolver.change_resolver(("127.0.0.8", 53))
    polled.clock.advance(0)
    assert len(polled.sent) == 2 and polled.server == ("127.0.0.8", 53)
    polled.resolver.datagramReceived(answer(polled.number, 6, B), ("127.0.0.9", 53))
    polled.receive(answer(polled.number, 4, B))
    assert [snapshot.revision for snapshot in polled.lists] == [5]
    polled.receive(answer(polled.number, 6, A, B))
    assert [snapshot.revision for snapshot in polled.lists] == [5, 6]
    before = len(polled.sent)
    for _ in range(10):
        polled.clock.advance(LIMITS.poll_interval / 1e6)
    # There is one sequence of polls, not two.
    assert len(polled.sent) - before <= 10 * LIMITS.poll_interval / LIMITS.max_poll_retry_interval * 1.25 + 4


def test_unrequested_older_and_identical_answers_change_nothing():
    polled = PolledResolver()
    polled.receive(answer(polled.number ^ 1, 9, A))
    assert polled.lists == [] and polled.counters["dns_bad"] == 1
    polled.receive(answer(polled.number, 5, A))
    polled.receive(answer(polled.number, 5, A))
    polled.receive(answer(polled.number, 4, A, B))  # an older list that arrives late
    polled.receive(answer(polled.number, 6, A)[:-9])
    assert [snapshot.revision for snapshot in polled.lists] == [5]
    assert (polled.counters["dns_same"], polled.counters["dns_old"], polled.counters["dns_bad"]) == (1, 1, 2)
    polled.receive(answer(polled.number, 6, A, B))
    assert [snapshot.revision for snapshot in polled.lists] == [5, 6]

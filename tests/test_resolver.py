"""The list of engines by DNS: what an answer means, and packets that must change nothing."""

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
from rackhub.net.resolver import Resolver


def answer(number, serial, *engines, rcode=0, drop=()):
    """A packet as the resolver sends it, names compressed; an engine is (name, address, priority, started[, port])."""
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


class Asked:
    """A resolver's client on a wire in memory."""

    def __init__(self, seed=1):
        self.clock, self.counters, self.lists, self.sent = Clock(), Counters(), [], []
        self.resolver = Resolver(
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

    def hear(self, packet):
        self.resolver.datagramReceived(packet, self.server)
        return self.lists


def test_the_question_is_one_that_a_resolver_reads():
    message = dns.Message()
    message.fromStr(encode_query(513))
    assert message.id == 513 and message.recDes and len(message.queries) == 1
    assert (message.queries[0].name.name, message.queries[0].type) == (SERVICE, dns.SRV)


def test_an_answer_is_the_whole_list():
    listing = parse_answer(answer(1, 41, A, B))
    first, second = listing.entries
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
    assert listing.revision == 41 and listing.addresses == {"a": ("127.0.0.1", 5050), "b": ("127.0.0.2", 5050)}


def test_an_empty_list_is_an_answer_too():
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
def test_half_an_answer_is_none(packet):
    with pytest.raises(InvalidAnswerError):
        parse_answer(packet)


@settings(derandomize=True, max_examples=300, deadline=None, database=None)
@given(st.data())
def test_bytes_changed_or_cut_never_raise_anything_else(data):
    packet = bytearray(answer(1, 41, A, B))
    for _ in range(data.draw(st.integers(0, 4))):
        packet[data.draw(st.integers(0, len(packet) - 1))] = data.draw(st.integers(0, 255))
    try:
        parse_answer(bytes(packet[: data.draw(st.integers(0, len(packet)))]))
    except InvalidAnswerError:
        pass


def test_it_asks_again_and_again_and_takes_the_answer_to_any_recent_query():
    """A lost packet must not cost the seconds after which news counts as told."""
    here = Asked()
    first = here.number
    for turn in range(5):
        here.clock.advance((LIMITS.poll_retry_interval << turn) / 1e6)
    assert len(here.sent) == 6 and here.server == ("127.0.0.9", 53)
    assert len(here.hear(answer(first, 4, A))) == 1


def test_it_asks_seldom_once_it_is_answered_and_soon_where_the_answer_was_none():
    here = Asked()
    here.hear(answer(here.number, 4, A))
    here.clock.advance(LIMITS.poll_retry_interval / 1e6)
    assert len(here.sent) == 1
    here.clock.advance(LIMITS.poll_interval / 1e6)
    assert len(here.sent) == 2
    here.hear(answer(here.number, 5, A, rcode=2))
    here.hear(answer(here.number, 3, A))  # from a server that is behind
    here.clock.advance(LIMITS.poll_retry_interval / 1e6)
    assert len(here.sent) == 3
    here.hear(answer(here.number, 4, A))
    here.clock.advance(LIMITS.poll_retry_interval / 1e6)
    assert len(here.sent) == 3


@pytest.mark.parametrize("answers, least, most", [(True, 150, 200), (False, 60, 110)])
def test_what_a_fleet_of_forty_asks_is_bounded_and_spread(answers, least, most):
    """Each asked again 60 ms after every call that failed: 660 calls a second at a resolver that could not keep up."""
    fleet = [Asked(seed) for seed in range(40)]
    calls = []
    for _ in range(400):
        for here in fleet:
            before = len(here.sent)
            here.clock.advance(0.01)
            if answers and len(here.sent) > before:
                here.hear(answer(here.number, 4, A))
        calls.append(sum(len(here.sent) for here in fleet))
    seconds = [calls[at + 100] - calls[at] for at in range(100, 300)]
    assert least <= min(seconds) and max(seconds) <= most
    turns = [calls[at + 1] - calls[at] for at in range(200, 399)]
    assert max(turns) <= 12  # of 40: they do not ask in step


def test_after_a_silence_news_comes_within_the_time_that_the_rule_on_drains_leaves():
    here = Asked()
    here.clock.advance(20)
    for _ in range(10):
        here.clock.advance(0.06)
    before = len(here.sent)
    here.clock.advance(LIMITS.max_poll_retry_interval / 1e6)
    assert len(here.sent) > before  # each call may now be answered: at most half a second after it can be


def test_the_longest_answer_is_read():
    engines = [(f"s-{i:08x}", f"127.0.{i // 250}.{i % 250 + 1}", 0, 0) for i in range(100)]
    packet = answer(1, 4, *engines)
    while len(packet) > 8_000:
        engines.pop()
        packet = answer(1, 4, *engines)
    here = Asked()
    listed = here.hear(answer(here.number, 4, *engines))
    assert len(engines) >= 60 and len(listed[0].entries) == len(engines)


def test_a_list_that_names_an_engine_twice_is_none_and_the_last_one_holds(caplog):
    here = Asked()
    with caplog.at_level("INFO", logger="rackhub"):
        assert here.hear(answer(here.number, 4, A, A)) == []
    assert here.counters["dns_bad"] == 1 and "'a' is named twice" in caplog.text


def test_a_list_that_names_none_is_told_of(caplog):
    here = Asked()
    here.hear(answer(here.number, 4, A))
    with caplog.at_level("INFO", logger="rackhub"):
        assert here.hear(answer(here.number, 5))[-1].entries == ()
    assert here.counters["lists_empty"] == 1 and "event 5 names no engine" in caplog.text


def test_a_moved_resolver_is_asked_at_once_and_the_old_one_is_heard_no_more():
    """At a reload the old address stops answering; the numbers go on, so an older list from the new one is none."""
    here = Asked()
    here.hear(answer(here.number, 5, A))
    here.resolver.move(("127.0.0.8", 53))
    here.clock.advance(0)
    assert len(here.sent) == 2 and here.server == ("127.0.0.8", 53)
    here.resolver.datagramReceived(answer(here.number, 6, B), ("127.0.0.9", 53))
    here.hear(answer(here.number, 4, B))
    assert [listing.revision for listing in here.lists] == [5]
    here.hear(answer(here.number, 6, A, B))
    assert [listing.revision for listing in here.lists] == [5, 6]
    before = len(here.sent)
    for _ in range(10):
        here.clock.advance(LIMITS.poll_interval / 1e6)
    assert (
        len(here.sent) - before <= 10 * LIMITS.poll_interval / LIMITS.max_poll_retry_interval * 1.25 + 4
    )  # one chain, not two


def test_what_was_not_asked_for_is_older_or_the_same_changes_nothing():
    here = Asked()
    here.hear(answer(here.number ^ 1, 9, A))
    assert here.lists == [] and here.counters["dns_bad"] == 1
    here.hear(answer(here.number, 5, A))
    here.hear(answer(here.number, 5, A))
    here.hear(answer(here.number, 4, A, B))  # overtaken by the newer one
    here.hear(answer(here.number, 6, A)[:-9])
    assert [listing.revision for listing in here.lists] == [5]
    assert (here.counters["dns_same"], here.counters["dns_old"], here.counters["dns_bad"]) == (1, 1, 2)
    here.hear(answer(here.number, 6, A, B))
    assert [listing.revision for listing in here.lists] == [5, 6]

"""Frames, datagrams and paged mail of the fleet's link."""

import random

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from rackhub.fleet.link import frames as f
from rackhub.fleet.link.datagram_builder import DatagramBuilder
from rackhub.fleet.link.inbox import Inbox
from rackhub.fleet.link.limits import MS, SECOND, Limits
from rackhub.fleet.link.outbox import Outbox
from rackhub.fleet.link.token_bucket import TokenBucket
from rackhub.fleet.ports import DATAGRAM_LIMIT_BYTES, MAX_MESSAGE_BYTES, MAX_RECORD_BYTES

LONG, HOST, BIG = "n" * 63, "255.255.255.255", (1 << 53)
FRAMES = [
    f.Claim(LONG, HOST, 65_535, BIG, BIG, f.LEFT, LONG, HOST, 65_535, LONG),
    f.Ping(BIG, LONG),
    f.Ack(BIG, True),
    f.PingReq(BIG, LONG, BIG),
    f.Nack(BIG),
    f.Hello(),
    f.RecordUpdate(LONG, "k" * 32, BIG, BIG, BIG, bytes(MAX_RECORD_BYTES)),
    f.Digest(LONG, LONG, [f.DigestEntry(LONG, BIG, BIG, f.GONE, {"k" * 32: BIG})]),
    f.StateRequest({LONG: ["k" * 32]}),
    f.Page(BIG, BIG, 300, 300, "k" * 32, bytes(Limits().page_bytes)),
    f.PageAck(BIG, bytes(64), True),
]


def packed(*frames):
    builder = DatagramBuilder(LONG, LONG, LONG)
    put = [builder.add_frame(f.encode(frame)) for frame in frames]
    return put, builder.build(BIG, BIG, BIG, BIG)


@pytest.mark.parametrize("frame", FRAMES, ids=lambda frame: type(frame).__name__)
def test_each_frame_at_its_largest_fits_a_datagram_and_comes_back(frame):
    put, data = packed(frame)
    assert put == [True] and len(data) < DATAGRAM_LIMIT_BYTES
    packet = f.decode_datagram(data)
    assert (packet.name, packet.to, packet.stamp) == (LONG, LONG, BIG)
    assert f.decode_frame(packet.frames[0]) == frame


def test_a_full_parcel_stays_below_the_size_and_says_so():
    builder = DatagramBuilder("c", "a", "b")
    body = f.encode(f.Hello())
    while builder.add_frame(body):
        pass
    assert DATAGRAM_LIMIT_BYTES - 60 < len(builder.build(BIG, BIG, BIG, BIG)) < DATAGRAM_LIMIT_BYTES


@settings(derandomize=True, max_examples=200)
@given(st.binary(max_size=1_500))
def test_no_bytes_but_a_packet_are_read(data):
    with pytest.raises(f.FrameError):
        f.decode_datagram(data)


def test_any_damaged_bit_is_found():
    _, data = packed(*FRAMES[1:5])
    for at in range(8 * len(data)):
        spoilt = bytearray(data)
        spoilt[at >> 3] ^= 1 << (at & 7)
        with pytest.raises(f.FrameError):
            f.decode_datagram(bytes(spoilt))


def raw(value):
    return msgspec.Raw(msgspec.msgpack.encode(value))


@pytest.mark.parametrize(
    "value, wrong",
    [
        ([99, "new"], "unknown_kind"),
        ([2, "no number"], "bad_frame"),
        ([], "bad_frame"),
        (7, "bad_frame"),
        ([1, "x" * 64, "", 0, 0, 0, 0], "bad_frame"),
        ([7, "a", "k", 0, 0, -1, b""], "bad_frame"),
    ],
)
def test_frames_that_cannot_be_used_are_named(value, wrong):
    with pytest.raises(f.FrameError, match=wrong):
        f.decode_frame(raw(value))


def test_a_later_program_may_add_fields_and_an_older_may_lack_them():
    assert f.decode_frame(raw([3, 7, True, "more", {}])) == f.Ack(7, True)
    assert f.decode_frame(raw([3, 7])) == f.Ack(7)
    with pytest.raises(f.FrameError, match="other_version"):
        f.decode_datagram(
            f.encode_datagram(msgspec.structs.replace(f.decode_datagram(packed(f.Hello())[1]), version=2))
        )


def test_a_bucket_holds_its_rate_and_burst():
    bucket = TokenBucket(10, 5, 0)
    assert [bucket.take(0) for _ in range(6)] == [True] * 5 + [False]
    assert [bucket.take(100 * MS), bucket.take(100 * MS)] == [True, False]
    assert sum(bucket.take(10 * SECOND + i) for i in range(20)) == 5


class Way:
    """Pages and acks between an outbox and an inbox, with losses, doubles and disorder."""

    def __init__(self, seed, lose, double=0.0, limits=None):
        self.random, self.lose, self.double, self.now = random.Random(seed), lose, double, 0
        self.counts = []
        self.out, self.into = (
            Outbox(limits or Limits(), self.counts.append),
            Inbox(limits or Limits(), self.counts.append),
        )
        self.queue, self.taken = [], []

    def put(self, frames):
        for frame in frames:
            for _ in range(1 + (self.random.random() < self.double)):
                if self.random.random() >= self.lose:
                    self.queue.append((self.now + self.random.randint(1, 20 * MS), len(self.queue), frame))

    def send(self, body):
        self.put(page for _, page in self.out.send(self.now, "b", 1, "k", body))

    def run(self, span=8 * SECOND):
        end = self.now + span
        while self.now < end and (self.queue or self.out.due() is not None):
            self.queue.sort(key=lambda entry: entry[:2])
            self.now = max(
                self.now,
                min([entry[0] for entry in self.queue[:1]] + [due for due in [self.out.due()] if due is not None]),
            )
            if self.queue and self.queue[0][0] <= self.now:
                frame = self.queue.pop(0)[2]
                if isinstance(frame, f.Page):
                    got, body = self.into.handle_page(frame)
                    self.put([got] if got else [])
                    self.taken += [body] if body is not None else []
                else:
                    self.put(page for _, page in self.out.handle_page_ack(self.now, "b", frame))
            self.put(page for _, page in self.out.tick(self.now))


@pytest.mark.parametrize("size", [0, 1, 1_040, 1_041, 65_536, MAX_MESSAGE_BYTES])
def test_mail_of_any_size_arrives_under_five_percent_of_loss_and_once(size):
    for seed in range(6):
        way = Way(seed, 0.05, 0.05)
        body = random.Random(seed).randbytes(size)
        way.send(body)
        way.run()
        assert way.taken == [body] and way.out.due() is None


@settings(derandomize=True, max_examples=30, deadline=None)
@given(st.integers(0, 1 << 30), st.floats(0, 0.7), st.floats(0, 0.5), st.lists(st.integers(0, 9_000), max_size=8))
def test_mail_comes_whole_or_not_at_all_and_never_twice(seed, lose, double, sizes):
    way = Way(seed, lose, double)
    bodies = [bytes([i]) + bytes(size) for i, size in enumerate(sizes)]
    for body in bodies:
        way.send(body)
    way.run()
    assert len(set(way.taken)) == len(way.taken) and set(way.taken) <= set(bodies)
    assert way.out.due() is None and len(way.taken) >= len(bodies) - way.counts.count("mail_lost")


def test_a_number_that_was_forgotten_is_not_taken_anew():
    limits = Limits(completed_ids_kept=4)
    way = Way(1, 0.0, limits=limits)
    pages = [f.Page(id, 1, 0, 1, "k", b"%d" % id) for id in range(1, 20)]
    assert [way.into.handle_page(page)[1] for page in pages] == [page.body for page in pages]
    assert [way.into.handle_page(page)[1] for page in pages] == [None] * len(pages)


def test_begun_mail_and_full_outboxes_are_bounded():
    limits = Limits(max_partial_messages=3, max_outgoing_messages=2)
    way = Way(1, 1.0, limits=limits)
    for id in range(1, 9):
        way.into.handle_page(f.Page(id, 1, 0, 2, "k", b"x"))
    assert way.counts.count("mail_dropped") == 5
    assert way.into.handle_page(f.Page(1, 1, 1, 2, "k", b"y"))[1] is None
    for _ in range(4):
        way.send(b"z")
    assert way.counts.count("mail_over") == 2
    for wrong in (
        f.Page(20, 1, 2, 2, "k", b""),
        f.Page(20, 1, 0, 0, "k", b""),
        f.Page(20, 1, 0, 1 << 20, "k", b""),
        f.Page(20, 1, 0, 1, "k", bytes(limits.page_bytes + 1)),
        f.Page(8, 1, 0, 5, "k", b""),
    ):
        assert way.into.handle_page(wrong) == (None, None)

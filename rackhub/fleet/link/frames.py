"""Frames and the packets that carry them: msgspec types, as they go over the wire.

A packet is four bytes of CRC-32 and one MessagePack array. Fields are added at the end and have defaults: an older
program ignores them, a newer one reads their absence. A kind of frame that is not known is counted and passed over, the
rest of its packet is taken. A packet of another `VERSION` is not read at all.
"""

import zlib
from typing import Annotated

import msgspec
from msgspec import Meta

from rackhub.fleet.ports import DATAGRAM_LIMIT_BYTES, MAX_RECORD_BYTES

VERSION = 1
Name = Annotated[str, Meta(min_length=1, max_length=63)]
OptionalName = Annotated[str, Meta(max_length=63)]
Kind = Annotated[str, Meta(min_length=1, max_length=32)]
Host = Annotated[str, Meta(max_length=15)]
Port = Annotated[int, Meta(ge=0, le=65_535)]
MAX_COUNT = 1 << 53
Count = Annotated[int, Meta(ge=0, le=MAX_COUNT)]
PageNumber = Annotated[int, Meta(ge=0, le=1 << 20)]

ALIVE, SUSPECT, GONE, LEFT = range(4)  # a claim's rank: of two with one boot and incarnation the higher holds


class Frame(msgspec.Struct, frozen=True, array_like=True):
    pass


class Claim(Frame, tag=1, frozen=True, array_like=True):
    """What the fleet is told of one member. `by`: who suspects it. Of the sender itself it is a request to join."""

    name: Name
    host: Host
    port: Port
    generation: Count
    incarnation: Count
    rank: Annotated[int, Meta(ge=ALIVE, le=LEFT)]
    suspected_by: OptionalName = ""
    client_host: Host = ""
    client_port: Port = 0
    site: OptionalName = ""


class Ping(Frame, tag=2, frozen=True, array_like=True):
    """`origin`: the member that asked for it; it gets a `Hello` straight, which shows that way alone."""

    seq: Count
    origin: OptionalName = ""


class Ack(Frame, tag=3, frozen=True, array_like=True):
    """`via`: it came by way of another member, and says nothing of the straight way."""

    seq: Count
    indirect: bool = False


class PingReq(Frame, tag=4, frozen=True, array_like=True):
    """Please ping the target, and say so when its process of that boot number answers."""

    seq: Count
    target: Name
    generation: Count


class Nack(Frame, tag=5, frozen=True, array_like=True):
    """The one that was asked lives; the target has not answered it yet."""

    seq: Count


class Hello(Frame, tag=6, frozen=True, array_like=True):
    """Nothing but that the sender is heard."""


class RecordUpdate(Frame, tag=7, frozen=True, array_like=True):
    """One record of the board. `age`: milliseconds at sending, rounded up."""

    owner: Name
    kind: Kind
    generation: Count
    number: Count
    age: Count
    body: Annotated[bytes, Meta(max_length=MAX_RECORD_BYTES)]


class DigestEntry(msgspec.Struct, frozen=True, array_like=True):
    """One member in a digest, with the number of each of its records."""

    name: Name
    generation: Count
    incarnation: Count
    rank: Annotated[int, Meta(ge=ALIVE, le=LEFT)]
    numbers: Annotated[dict[Kind, Count], Meta(max_length=32)] = {}


class Digest(Frame, tag=8, frozen=True, array_like=True):
    """All that the sender knows of names after `after` up to `upto` ("": to the end). Each stands for itself."""

    after: OptionalName
    up_to: OptionalName
    entries: list[DigestEntry]


class StateRequest(Frame, tag=9, frozen=True, array_like=True):
    """The names whose claim is wanted, with the kinds of records."""

    names: dict[Name, list[Kind]]


class Page(Frame, tag=10, frozen=True, array_like=True):
    """One page of mail for the process of that boot number."""

    id: Count
    generation: Count
    index: PageNumber
    count: PageNumber
    kind: Kind
    body: bytes


class PageAck(Frame, tag=11, frozen=True, array_like=True):
    """The pages that are there, one bit each, lowest first; `whole`: all are, or the mail is no longer wanted."""

    id: Count
    received: Annotated[bytes, Meta(max_length=64)]
    complete: bool = False


AnyFrame = Claim | Ping | Ack | PingReq | Nack | Hello | RecordUpdate | Digest | StateRequest | Page | PageAck


class Packet(msgspec.Struct, frozen=True, array_like=True):
    """`stamp`: the sender's clock, milliseconds, which only comes back to it: `echo` is the last stamp that the sender
    has of the receiver, `held` how long it has had it. So the receiver knows what the way there and back took, and that
    this packet has been on its way for no longer, without comparing clocks. 0: none yet."""

    version: int
    cluster: Name
    name: Name
    generation: Count
    to: OptionalName  # empty: to whoever stands at that address, as at a join
    stamp: Count
    echo: Count
    held: Count
    frames: list[msgspec.Raw]


class Version(msgspec.Struct, frozen=True, array_like=True):
    """The part of a packet that every version begins with."""

    version: int
    cluster: str


class FrameError(Exception):
    """Not a packet, or not one that this program reads; its text is the counter's name."""


_encode = msgspec.msgpack.Encoder().encode
_version_decoder = msgspec.msgpack.Decoder(Version)
_packet_decoder = msgspec.msgpack.Decoder(Packet)
_frame_decoder = msgspec.msgpack.Decoder(AnyFrame)
KNOWN_TAGS = frozenset(range(1, 12))


def encode(frame: AnyFrame | DigestEntry) -> bytes:
    return _encode(frame)


def encode_datagram(packet: Packet) -> bytes:
    body = _encode(packet)
    return zlib.crc32(body).to_bytes(4, "big") + body


def decode_datagram(data: bytes) -> Packet:
    """Raises `Damaged`."""
    if not 5 <= len(data) < DATAGRAM_LIMIT_BYTES or zlib.crc32(data[4:]) != int.from_bytes(data[:4], "big"):
        raise FrameError("damaged")
    try:
        if _version_decoder.decode(data[4:]).version != VERSION:
            raise FrameError("other_version")
        return _packet_decoder.decode(data[4:])
    except (msgspec.DecodeError, msgspec.ValidationError, UnicodeDecodeError, RecursionError):
        raise FrameError("damaged") from None


def decode_frame(raw: msgspec.Raw) -> AnyFrame:
    """Raises `Damaged`: `unknown_kind` or `bad_frame`."""
    try:
        return _frame_decoder.decode(raw)
    except (msgspec.DecodeError, msgspec.ValidationError, UnicodeDecodeError, RecursionError):
        pass
    try:
        parts = msgspec.msgpack.decode(raw, type=list[msgspec.Raw])
        kind = msgspec.msgpack.decode(parts[0], type=int)
    except (msgspec.DecodeError, msgspec.ValidationError, UnicodeDecodeError, RecursionError, IndexError):
        raise FrameError("bad_frame") from None
    raise FrameError("bad_frame" if kind in KNOWN_TAGS else "unknown_kind")


def first_claim(packet: Packet) -> Claim | None:
    """The sender's word of itself, with which the packets of those not known must begin; None where it is not there."""
    try:
        claim = decode_frame(packet.frames[0]) if packet.frames else None
    except FrameError:
        return None
    if isinstance(claim, Claim) and (claim.name, claim.generation) == (packet.name, packet.generation):
        return claim
    return None

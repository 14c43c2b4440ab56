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
Maybe = Annotated[str, Meta(max_length=63)]
Kind = Annotated[str, Meta(min_length=1, max_length=32)]
Host = Annotated[str, Meta(max_length=15)]
Port = Annotated[int, Meta(ge=0, le=65_535)]
MOST = 1 << 53
Count = Annotated[int, Meta(ge=0, le=MOST)]
Small = Annotated[int, Meta(ge=0, le=1 << 20)]

ALIVE, SUSPECT, GONE, LEFT = range(4)  # a claim's rank: of two with one boot and incarnation the higher holds


class Frame(msgspec.Struct, frozen=True, array_like=True):
    pass


class Claim(Frame, tag=1, frozen=True, array_like=True):
    """What the fleet is told of one member. `by`: who suspects it. Of the sender itself it is a request to join."""

    name: Name
    host: Host
    port: Port
    boot: Count
    incarnation: Count
    rank: Annotated[int, Meta(ge=ALIVE, le=LEFT)]
    by: Maybe = ""
    serves_host: Host = ""
    serves_port: Port = 0
    site: Maybe = ""


class Ping(Frame, tag=2, frozen=True, array_like=True):
    """`origin`: the member that asked for it; it gets a `Hello` straight, which shows that way alone."""

    seq: Count
    origin: Maybe = ""


class Ack(Frame, tag=3, frozen=True, array_like=True):
    """`via`: it came by way of another member, and says nothing of the straight way."""

    seq: Count
    via: bool = False


class Ask(Frame, tag=4, frozen=True, array_like=True):
    """Please ping the target, and say so when its process of that boot number answers."""

    seq: Count
    target: Name
    boot: Count


class Nack(Frame, tag=5, frozen=True, array_like=True):
    """The one that was asked lives; the target has not answered it yet."""

    seq: Count


class Hello(Frame, tag=6, frozen=True, array_like=True):
    """Nothing but that the sender is heard."""


class Note(Frame, tag=7, frozen=True, array_like=True):
    """One record of the board. `age`: milliseconds at sending, rounded up."""

    owner: Name
    kind: Kind
    boot: Count
    number: Count
    age: Count
    body: Annotated[bytes, Meta(max_length=MAX_RECORD_BYTES)]


class Line(msgspec.Struct, frozen=True, array_like=True):
    """One member in a digest, with the number of each of its records."""

    name: Name
    boot: Count
    incarnation: Count
    rank: Annotated[int, Meta(ge=ALIVE, le=LEFT)]
    numbers: Annotated[dict[Kind, Count], Meta(max_length=32)] = {}


class Digest(Frame, tag=8, frozen=True, array_like=True):
    """All that the sender knows of names after `after` up to `upto` ("": to the end). Each stands for itself."""

    after: Maybe
    upto: Maybe
    lines: list[Line]


class Want(Frame, tag=9, frozen=True, array_like=True):
    """The names whose claim is wanted, with the kinds of records."""

    names: dict[Name, list[Kind]]


class Page(Frame, tag=10, frozen=True, array_like=True):
    """One page of mail for the process of that boot number."""

    id: Count
    boot: Count
    index: Small
    count: Small
    kind: Kind
    body: bytes


class Got(Frame, tag=11, frozen=True, array_like=True):
    """The pages that are there, one bit each, lowest first; `whole`: all are, or the mail is no longer wanted."""

    id: Count
    seen: Annotated[bytes, Meta(max_length=64)]
    whole: bool = False


Any = Claim | Ping | Ack | Ask | Nack | Hello | Note | Digest | Want | Page | Got


class Packet(msgspec.Struct, frozen=True, array_like=True):
    """`stamp`: the sender's clock, milliseconds, which only comes back to it: `echo` is the last stamp that the sender
    has of the receiver, `held` how long it has had it. So the receiver knows what the way there and back took, and that
    this packet has been on its way for no longer, without comparing clocks. 0: none yet."""

    version: int
    cluster: Name
    name: Name
    boot: Count
    to: Maybe  # empty: to whoever stands at that address, as at a join
    stamp: Count
    echo: Count
    held: Count
    frames: list[msgspec.Raw]


class Version(msgspec.Struct, frozen=True, array_like=True):
    """The part of a packet that every version begins with."""

    version: int
    cluster: str


class Damaged(Exception):
    """Not a packet, or not one that this program reads; its text is the counter's name."""


_encode = msgspec.msgpack.Encoder().encode
_version = msgspec.msgpack.Decoder(Version)
_packet = msgspec.msgpack.Decoder(Packet)
_frame = msgspec.msgpack.Decoder(Any)
KNOWN = frozenset(range(1, 12))


def encode(frame: Any | Line) -> bytes:
    return _encode(frame)


def datagram(packet: Packet) -> bytes:
    body = _encode(packet)
    return zlib.crc32(body).to_bytes(4, "big") + body


def read(data: bytes) -> Packet:
    """Raises `Damaged`."""
    if not 5 <= len(data) < DATAGRAM_LIMIT_BYTES or zlib.crc32(data[4:]) != int.from_bytes(data[:4], "big"):
        raise Damaged("damaged")
    try:
        if _version.decode(data[4:]).version != VERSION:
            raise Damaged("other_version")
        return _packet.decode(data[4:])
    except (msgspec.DecodeError, msgspec.ValidationError, UnicodeDecodeError, RecursionError):
        raise Damaged("damaged") from None


def frame(raw: msgspec.Raw) -> Any:
    """Raises `Damaged`: `unknown_kind` or `bad_frame`."""
    try:
        return _frame.decode(raw)
    except (msgspec.DecodeError, msgspec.ValidationError, UnicodeDecodeError, RecursionError):
        pass
    try:
        parts = msgspec.msgpack.decode(raw, type=list[msgspec.Raw])
        kind = msgspec.msgpack.decode(parts[0], type=int)
    except (msgspec.DecodeError, msgspec.ValidationError, UnicodeDecodeError, RecursionError, IndexError):
        raise Damaged("bad_frame") from None
    raise Damaged("bad_frame" if kind in KNOWN else "unknown_kind")


def first_claim(packet: Packet) -> Claim | None:
    """The sender's word of itself, with which the packets of those not known must begin; None where it is not there."""
    try:
        claim = frame(packet.frames[0]) if packet.frames else None
    except Damaged:
        return None
    if isinstance(claim, Claim) and (claim.name, claim.boot) == (packet.name, packet.boot):
        return claim
    return None

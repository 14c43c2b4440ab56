"""The wire format: frames, and the packets that carry them, as msgspec types.

A packet is four bytes of CRC-32 and one MessagePack array. Fields are added at the end and have defaults: an older
version ignores them, a newer one takes the default where they are missing. An unknown kind of frame is counted and
skipped, and the rest of its packet is handled. A packet of another `VERSION` is not decoded at all.
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

ALIVE, SUSPECT, GONE, LEFT = range(4)  # rank of a claim: the greater wins at equal generation and incarnation


class Frame(msgspec.Struct, frozen=True, array_like=True):
    """A frame, encoded as an array that starts with its tag."""

    pass


class Claim(Frame, tag=1, frozen=True, array_like=True):
    """A claim about one member, suspected by `suspected_by`. A claim by the sender about itself is a join request."""

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
    """SWIM's ping.

    `origin` is the member that asked for it by a ping-req, if any. The target sends it a `Hello`, which proves that
    direction alone.
    """

    seq: Count
    origin: OptionalName = ""


class Ack(Frame, tag=3, frozen=True, array_like=True):
    """SWIM's ack. `indirect`: relayed by a helper, so it does not prove the direct path."""

    seq: Count
    indirect: bool = False


class PingReq(Frame, tag=4, frozen=True, array_like=True):
    """SWIM's ping-req: ping the target, and relay its ack if its process has that generation."""

    seq: Count
    target: Name
    generation: Count


class Nack(Frame, tag=5, frozen=True, array_like=True):
    """The helper is alive, but the target has not answered it yet."""

    seq: Count


class Hello(Frame, tag=6, frozen=True, array_like=True):
    """Proves that datagrams from the sender arrive, and carries no data."""


class RecordUpdate(Frame, tag=7, frozen=True, array_like=True):
    """One published record. `age`: milliseconds at the time of sending, rounded up."""

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
    """All that the sender knows about names after `after` up to `up_to`, or to the end if that is empty.

    Each digest is handled alone.
    """

    after: OptionalName
    up_to: OptionalName
    entries: list[DigestEntry]


class StateRequest(Frame, tag=9, frozen=True, array_like=True):
    """Requests the claims about these members, with their records of these kinds."""

    names: dict[Name, list[Kind]]


class Page(Frame, tag=10, frozen=True, array_like=True):
    """One page of a message for the process of that generation."""

    id: Count
    generation: Count
    index: PageNumber
    count: PageNumber
    kind: Kind
    body: bytes


class PageAck(Frame, tag=11, frozen=True, array_like=True):
    """`received`: one bit for each page received, lowest first.

    `complete`: all are, or the message is no longer accepted.
    """

    id: Count
    received: Annotated[bytes, Meta(max_length=64)]
    complete: bool = False


AnyFrame = Claim | Ping | Ack | PingReq | Nack | Hello | RecordUpdate | Digest | StateRequest | Page | PageAck


class Packet(msgspec.Struct, frozen=True, array_like=True):
    """A packet's header and frames.

    `stamp` is the sender's clock in milliseconds and is only ever returned to it: `echo` is the last stamp that the
    sender has of the receiver, and `held` the milliseconds since it arrived. From these the receiver knows the
    round-trip time, an upper bound of this packet's transit time, without comparing clocks. 0 means no stamp yet.
    """

    version: int
    cluster: Name
    name: Name
    generation: Count
    to: OptionalName  # empty in a join request, whose recipient's name is unknown
    stamp: Count
    echo: Count
    held: Count
    frames: list[msgspec.Raw]


class Version(msgspec.Struct, frozen=True, array_like=True):
    """The fields that a packet of every version starts with."""

    version: int
    cluster: str


class FrameError(Exception):
    """Not a packet or frame, or not one that this version can decode. The text is the name of a counter."""


_encode = msgspec.msgpack.Encoder().encode
_version_decoder = msgspec.msgpack.Decoder(Version)
_packet_decoder = msgspec.msgpack.Decoder(Packet)
_frame_decoder = msgspec.msgpack.Decoder(AnyFrame)
KNOWN_TAGS = frozenset(range(1, 12))


def encode(frame: AnyFrame | DigestEntry) -> bytes:
    """Encode a frame or an entry of a digest."""
    return _encode(frame)


def encode_datagram(packet: Packet) -> bytes:
    """Encode a packet with its checksum."""
    body = _encode(packet)
    return zlib.crc32(body).to_bytes(4, "big") + body


def decode_datagram(data: bytes) -> Packet:
    """Decode a packet. Raises `FrameError`: `damaged` or `other_version`."""
    if not 5 <= len(data) < DATAGRAM_LIMIT_BYTES or zlib.crc32(data[4:]) != int.from_bytes(data[:4], "big"):
        raise FrameError("damaged")
    try:
        if _version_decoder.decode(data[4:]).version != VERSION:
            raise FrameError("other_version")
        return _packet_decoder.decode(data[4:])
    except (msgspec.DecodeError, msgspec.ValidationError, UnicodeDecodeError, RecursionError):
        raise FrameError("damaged") from None


def decode_frame(raw: msgspec.Raw) -> AnyFrame:
    """Decode a frame. Raises `FrameError`: `unknown_kind` or `bad_frame`."""
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
    """The sender's claim about itself, with which packets of unknown senders must start; None if it is missing."""
    try:
        claim = decode_frame(packet.frames[0]) if packet.frames else None
    except FrameError:
        return None
    if isinstance(claim, Claim) and (claim.name, claim.generation) == (packet.name, packet.generation):
        return claim
    return None

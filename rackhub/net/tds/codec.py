"""TDS codec for clients and servers: packets, PRELOGIN, LOGIN7, requests and response tokens.

Implements the subset of MS-TDS that this program uses. Every length is checked against the available bytes before
use; malformed input raises `TdsProtocolError`.
"""

import struct
from collections.abc import Generator, Iterable, Iterator, Sequence
from typing import Any, NamedTuple, TypeVar

# Packet types (MS-TDS 2.2.3.1.1).
SQL_BATCH = 1
RPC = 3
REPLY = 4
ATTENTION = 6
BULK = 7
TRANSACTION = 14
LOGIN7 = 16
SSPI = 17
PRELOGIN = 18
PACKET_TYPES = frozenset((SQL_BATCH, RPC, REPLY, ATTENTION, BULK, TRANSACTION, LOGIN7, SSPI, PRELOGIN))

# Status bits of a packet header.
EOM = 0x01
IGNORE = 0x02
RESET = 0x08 | 0x10  # RESETCONNECTION and RESETCONNECTIONSKIPTRAN

HEADER = struct.Struct(">BBHHBB")  # type, status, length, SPID, packet id, window
MIN_PACKET_BYTES = 512
DEFAULT_PACKET_BYTES = 4_096
MAX_PACKET_BYTES = 32_767
VERSION_72 = 0x72090002
VERSION_74 = 0x74000004

# Token types (MS-TDS 2.2.7).
RETURNSTATUS = 0x79
COLMETADATA = 0x81
TABNAME = 0xA4
COLINFO = 0xA5
ORDER = 0xA9
ERROR = 0xAA
INFO = 0xAB
RETURNVALUE = 0xAC
LOGINACK = 0xAD
ROW = 0xD1
ENVCHANGE = 0xE3
SSPI_TOKEN = 0xED
DONE = 0xFD
DONEPROC = 0xFE
DONEINPROC = 0xFF
DONE_TOKENS = frozenset((DONE, DONEPROC, DONEINPROC))
SKIPPED_TOKENS = frozenset((LOGINACK, ENVCHANGE, ORDER, TABNAME, COLINFO, SSPI_TOKEN))

# Status bits of a DONE token.
DONE_MORE = 0x01
DONE_ERROR = 0x02
DONE_COUNT = 0x10
DONE_ATTN = 0x20
DONE_SERVER_ERROR = 0x100  # DONE_SRVERROR: the result is incomplete

# Data types (MS-TDS 2.2.5.4).
NULLTYPE = 0x1F
INT1TYPE = 0x30
BITTYPE = 0x32
INT2TYPE = 0x34
INT4TYPE = 0x38
FLT4TYPE = 0x3B
FLT8TYPE = 0x3E
INT8TYPE = 0x7F
INTN = 0x26
BITN = 0x68
DECIMALN = 0x6A
NUMERICN = 0x6C
FLTN = 0x6D
BIGVARCHAR = 0xA7
BIGCHAR = 0xAF
NVARCHAR = 0xE7
NCHAR = 0xEF
CHARACTER_ENCODINGS = {NVARCHAR: "utf-16-le", NCHAR: "utf-16-le", BIGVARCHAR: "cp1252", BIGCHAR: "cp1252"}

ENCRYPT_NOT_SUP = 2  # value of the PRELOGIN option ENCRYPTION: encryption is not supported
COLLATION = bytes.fromhex("0904d00034")  # Latin1_General, case-insensitive
USHORT_MAX = 0xFFFF  # declared length of a (max) type, length of a NULL value, column count without metadata
# Lengths of partially length-prefixed (PLP) values with a special meaning.
PLP_NULL = (1 << 64) - 1
PLP_UNKNOWN_LENGTH = (1 << 64) - 2
PRELOGIN_OPTION_BYTES = 5
MAX_PRELOGIN_OPTIONS = 32  # MS-TDS 2.2.6.5 defines nine
MAX_LOGIN_TEXT = 128  # code units of each text field of LOGIN7 (MS-TDS 2.2.6.4)
MAX_RPC_ARGUMENTS = 32
MAX_PLP_CHUNKS = 1_024  # of a value that a client sends
PRELOGIN_TERMINATOR = 0xFF
LOGIN_HEADER_BYTES = 94  # size of the fixed fields of LOGIN7 and of its table of text offsets
LOGIN_INTEGRATED_SECURITY = 0x80  # bit of OptionFlags2 in LOGIN7
RPC_BY_NUMBER = 0xFFFF  # length of a procedure name that is given as a number
RPC_BATCH_FLAGS = (0x80, 0xFF, 0xFE)  # bytes that separate the calls of one RPC message


class TdsProtocolError(ValueError):
    """The bytes violate the TDS protocol or belong to an unsupported version of it."""


class UnsupportedTdsError(ValueError):
    """The TDS is valid but uses a feature that is not implemented."""


def decode_text(raw: bytes) -> str:
    """Decode UTF-16 text. Raises `TdsProtocolError`."""
    try:
        return raw.decode("utf-16-le")
    except UnicodeDecodeError:
        raise TdsProtocolError("text is not valid UTF-16") from None


class IncompleteTokenError(Exception):
    """The bytes end inside a value."""


T = TypeVar("T")
# A generator that yields the number of bytes to read next, is sent these bytes, and returns the value that it has read.
# It can wait for bytes without starting again, so that its work is linear in their number.
Reading = Generator[int, bytes, T]


class ByteCursor:
    """Reads values from a buffer in place; reading past the end raises `IncompleteTokenError`."""

    __slots__ = ("data", "position", "end")

    def __init__(self, data: bytes | bytearray, position: int = 0, end: int | None = None):
        self.data = data
        self.position = position
        self.end = len(data) if end is None else end

    def read(self, size: int) -> bytes:
        """Read the next `size` bytes."""
        if size < 0 or self.position + size > self.end:
            raise IncompleteTokenError
        self.position += size
        return bytes(self.data[self.position - size : self.position])

    def read_int(self, size: int, signed: bool = False) -> int:
        """Read the next little-endian integer of `size` bytes."""
        return int.from_bytes(self.read(size), "little", signed=signed)

    def read_text(self, code_units: int) -> str:
        """Read the next UTF-16 text of `code_units` code units."""
        return decode_text(self.read(2 * code_units))

    def run(self, reading: Reading[T]) -> T:
        """Return the result of a reading that is given the next bytes."""
        try:
            size = next(reading)
            while True:
                size = reading.send(self.read(size))
        except StopIteration as finished:
            result: T = finished.value
            return result

    def remaining(self) -> int:
        """Return the number of bytes not yet read."""
        return self.end - self.position


def encode_b_varchar(text: str) -> bytes:
    """Encode a B_VARCHAR: UTF-16 text with a one-byte length, truncated to 255 code units."""
    raw = text[:255].encode("utf-16-le", "replace")[:510]
    return bytes([len(raw) // 2]) + raw


def encode_us_varchar(text: str) -> bytes:
    """Encode a US_VARCHAR: UTF-16 text with a two-byte length, truncated to 2,000 characters."""
    raw = text[:2_000].encode("utf-16-le", "replace")
    return struct.pack("<H", len(raw) // 2) + raw


# ---- packets


class Packet(NamedTuple):
    """A packet without its header; `status` has the bits of the header."""

    kind: int
    status: int
    body: bytes

    @property
    def size(self) -> int:
        """Bytes of the packet with its header."""
        return HEADER.size + len(self.body)


class Message(NamedTuple):
    """A complete message; `status` is that of its last packet, with the RESET bits if any of its packets had them."""

    kind: int
    status: int
    body: bytes


class MessageAssembler:
    """Reassembles messages from a byte stream; buffers one message of at most `max_bytes`.

    Bytes are added with `append`. `take_packet` and `add_packet` process one packet at a time, so that the caller can
    bound its work; `feed` and `feed_packets` process all that are complete.
    """

    def __init__(self, max_bytes: int):
        self._max_bytes = max_bytes
        self._buffer = bytearray()
        self._kind = 0
        self._body = bytearray()
        self._reset = False

    @property
    def has_partial_message(self) -> bool:
        """Whether part of a message has been received."""
        return bool(self._buffer or self._body)

    def buffered_bytes(self) -> int:
        """Return the number of bytes of the incomplete message, and of packets that are not taken yet."""
        return len(self._buffer) + len(self._body)

    def append(self, data: bytes) -> None:
        """Add received bytes."""
        self._buffer += data

    def discard(self) -> None:
        """Free the received bytes."""
        self._buffer = bytearray()
        self._body = bytearray()

    def has_packet(self) -> bool:
        """Whether `take_packet` would return a packet or raise `TdsProtocolError`."""
        if len(self._buffer) < HEADER.size:
            return False
        kind, _, size, _, _, _ = HEADER.unpack_from(self._buffer)
        return len(self._buffer) >= size or not HEADER.size <= size <= MAX_PACKET_BYTES or kind not in PACKET_TYPES

    def take_packet(self) -> Packet | None:
        """Remove and return the next packet, or return None if none is complete. Raises `TdsProtocolError`."""
        if len(self._buffer) < HEADER.size:
            return None
        kind, status, size, _, _, _ = HEADER.unpack_from(self._buffer)
        if not HEADER.size <= size <= MAX_PACKET_BYTES:
            raise TdsProtocolError(f"packet of {size} bytes: must be {HEADER.size} to {MAX_PACKET_BYTES} bytes")
        if kind not in PACKET_TYPES:
            raise TdsProtocolError(f"unknown packet type {kind}")
        if len(self._buffer) < size:
            return None
        body = bytes(memoryview(self._buffer)[HEADER.size : size])
        del self._buffer[:size]
        return Packet(kind, status, body)

    def add_packet(self, packet: Packet) -> Message | None:
        """Add a packet to the message; return the message if it is complete now. Raises `TdsProtocolError`."""
        if self._body and packet.kind != self._kind:
            if packet.kind != ATTENTION:
                raise TdsProtocolError(f"packet of type {packet.kind} inside a message of type {self._kind}")
            # An Attention received inside a request cancels that request.
            self._body = bytearray()
            self._reset = False
        if len(self._body) + len(packet.body) > self._max_bytes:
            raise TdsProtocolError(f"message exceeds the limit of {self._max_bytes} bytes")
        self._kind = packet.kind
        self._body += packet.body
        self._reset |= bool(packet.status & RESET)
        if not packet.status & EOM:
            return None
        message = Message(packet.kind, packet.status | (RESET if self._reset else 0), bytes(self._body))
        self._body = bytearray()
        self._reset = False
        return message

    def feed(self, data: bytes) -> Iterator[Message]:
        """Add received bytes and yield each message that is now complete."""
        for packet in self.feed_packets(data):
            message = self.add_packet(packet)
            if message is not None:
                yield message

    def feed_packets(self, data: bytes) -> Iterator[Packet]:
        """Add received bytes and yield each packet that is now complete."""
        self.append(data)
        while (packet := self.take_packet()) is not None:
            yield packet


class Packetizer:
    """Splits an outgoing message into packets while it is being written; the last packet has the EOM bit."""

    def __init__(self, kind: int, size: int):
        self._kind = kind
        self._capacity = size - HEADER.size
        self._packet_id = 0
        self._pending = bytearray()

    def add(self, pieces: Iterable[bytes]) -> list[bytes]:
        """Append to the message and return the headers and bodies of full packets; the last is kept for `finish`."""
        for piece in pieces:
            self._pending += piece
        out: list[bytes] = []
        while len(self._pending) > self._capacity:
            out += self._packet(bytes(self._pending[: self._capacity]), 0)
            del self._pending[: self._capacity]
        return out

    def finish(self, pieces: Iterable[bytes] = ()) -> list[bytes]:
        """Complete the message and return the headers and bodies of all remaining packets."""
        out = self.add(pieces)
        out += self._packet(bytes(self._pending), EOM)
        self._pending = bytearray()
        return out

    def _packet(self, body: bytes, status: int) -> tuple[bytes, bytes]:
        self._packet_id = (self._packet_id + 1) & 0xFF
        return HEADER.pack(self._kind, status, HEADER.size + len(body), 0, self._packet_id, 0), body


def encode_message(kind: int, body: bytes, size: int = DEFAULT_PACKET_BYTES) -> list[bytes]:
    """Encode a complete message as packet headers and bodies; `size` is the packet size in bytes."""
    return Packetizer(kind, size).finish((body,))


# ---- handshake


def encode_prelogin(encryption: int = ENCRYPT_NOT_SUP) -> bytes:
    """Encode PRELOGIN with VERSION, ENCRYPTION, INSTOPT, THREADID and MARS, without encryption and MARS."""
    options = ((0, b"\x10\x00\x00\x00\x00\x00"), (1, bytes([encryption])), (2, b"\0"), (3, b""), (4, b"\0"))
    data_offset = PRELOGIN_OPTION_BYTES * len(options) + 1
    option_table = b""
    data = b""
    for option, value in options:
        option_table += struct.pack(">BHH", option, data_offset + len(data), len(value))
        data += value
    return option_table + b"\xff" + data


def parse_prelogin(body: bytes) -> dict[int, bytes]:
    """Parse the body of a PRELOGIN message into its options by option number."""
    options: dict[int, bytes] = {}
    total_size = 0
    position = 0
    while position < len(body) and body[position] != PRELOGIN_TERMINATOR:
        if position >= MAX_PRELOGIN_OPTIONS * PRELOGIN_OPTION_BYTES:
            raise TdsProtocolError(f"PRELOGIN has more than {MAX_PRELOGIN_OPTIONS} options")
        if position + PRELOGIN_OPTION_BYTES > len(body):
            raise TdsProtocolError(f"PRELOGIN is truncated inside its option table, after {len(body)} bytes")
        option, offset, size = struct.unpack_from(">BHH", body, position)
        if offset + size > len(body):
            raise TdsProtocolError(f"PRELOGIN option {option} ends at byte {offset + size} of {len(body)}")
        total_size += size
        if total_size > len(body):  # thousands of options that all extend over the whole message
            raise TdsProtocolError(f"PRELOGIN options overlap: {total_size} bytes in a message of {len(body)}")
        options[option] = body[offset : offset + size]
        position += PRELOGIN_OPTION_BYTES
    if position >= len(body):
        raise TdsProtocolError("PRELOGIN has no terminator after its option table")
    return options


class Login(NamedTuple):
    """The fields of a LOGIN7 message that the front uses."""

    version: int
    packet_size: int
    user: str
    password: str
    database: str
    integrated_security: bool


LOGIN_FIXED_FIELDS = struct.Struct("<IIIIIIBBBBiI")
LOGIN_TEXT_FIELDS = ("host", "user", "password", "app", "server", "extension", "library", "language", "database")


def obfuscate_password(password: bytes) -> bytes:
    """Obfuscate a password as LOGIN7 requires."""
    return bytes(((byte << 4 | byte >> 4) & 0xFF) ^ 0xA5 for byte in password)


def deobfuscate_password(password: bytes) -> bytes:
    """Reverse `obfuscate_password`."""
    return bytes(((byte ^ 0xA5) << 4 | (byte ^ 0xA5) >> 4) & 0xFF for byte in password)


def encode_login7(user: str, password: str, database: str, packet_size: int) -> bytes:
    """Encode the body of a LOGIN7 message; `packet_size` is in bytes."""
    texts = {
        "host": "rackhub",
        "user": user,
        "app": "rackhub",
        "server": "",
        "library": "rackhub",
        "database": database,
    }
    data_offset = LOGIN_HEADER_BYTES
    offset_table = b""
    data = b""
    for name in LOGIN_TEXT_FIELDS:
        raw = (
            obfuscate_password(password.encode("utf-16-le"))
            if name == "password"
            else texts.get(name, "").encode("utf-16-le")
        )
        offset_table += struct.pack("<HH", data_offset + len(data), len(raw) // 2)
        data += raw
    offset_table += b"\0" * 6 + struct.pack("<HHHHHHI", *(data_offset + len(data), 0) * 3, 0)
    fixed = LOGIN_FIXED_FIELDS.pack(
        data_offset + len(data), VERSION_74, packet_size, 0, 0, 0, 0xE0, 0x03, 0, 0, 0, 0x0409
    )
    return fixed + offset_table + data


def parse_login7(body: bytes) -> Login:
    """Parse the body of a LOGIN7 message."""
    if len(body) < LOGIN_HEADER_BYTES:
        raise TdsProtocolError(f"LOGIN7 is truncated: got {len(body)} bytes, its header has {LOGIN_HEADER_BYTES}")
    size, version, packet_size, *_ = LOGIN_FIXED_FIELDS.unpack_from(body)
    if size > len(body):
        raise TdsProtocolError(f"LOGIN7 is truncated: got {len(body)} of {size} bytes")
    texts = {}
    for index, name in enumerate(LOGIN_TEXT_FIELDS):
        offset, code_units = struct.unpack_from("<HH", body, LOGIN_FIXED_FIELDS.size + 4 * index)
        if code_units > MAX_LOGIN_TEXT:
            raise TdsProtocolError(f"LOGIN7 field {name} has {code_units} code units, at most {MAX_LOGIN_TEXT} allowed")
        if offset + 2 * code_units > len(body):
            raise TdsProtocolError(f"LOGIN7 field {name} ends at byte {offset + 2 * code_units} of {len(body)}")
        raw = body[offset : offset + 2 * code_units]
        try:
            texts[name] = (deobfuscate_password(raw) if name == "password" else raw).decode("utf-16-le")
        except UnicodeDecodeError:
            raise TdsProtocolError(f"LOGIN7 field {name} is not valid UTF-16") from None
    return Login(
        version,
        packet_size,
        texts["user"],
        texts["password"],
        texts["database"],
        bool(body[25] & LOGIN_INTEGRATED_SECURITY),
    )


# ---- requests


def skip_all_headers(body: bytes) -> ByteCursor:
    """Return a cursor after the ALL_HEADERS block that begins a request (MS-TDS 2.2.5.3)."""
    if len(body) < 4 or not 4 <= int.from_bytes(body[:4], "little") <= len(body):
        raise TdsProtocolError("request does not begin with a valid ALL_HEADERS block")
    return ByteCursor(body, int.from_bytes(body[:4], "little"))


# One transaction descriptor header: no transaction, one outstanding request.
ALL_HEADERS = struct.pack("<IIHQI", 22, 18, 2, 0, 1)


def encode_sql_batch(statement: str) -> bytes:
    """Encode the body of a SQL batch message."""
    return ALL_HEADERS + statement.encode("utf-16-le")


def parse_sql_batch(body: bytes) -> str:
    """Parse the body of a SQL batch message and return its statement."""
    cursor = skip_all_headers(body)
    if cursor.remaining() % 2:
        raise TdsProtocolError("SQL batch ends inside a UTF-16 code unit")
    return cursor.read_text(cursor.remaining() // 2)


class RpcCall(NamedTuple):
    """A remote procedure call; `arguments` are by lower-case name. A procedure called by number 10 is named '#10'."""

    name: str
    arguments: dict[str, Any]


def encode_plp(raw: bytes) -> bytes:
    """Encode a value of a (max) type as one chunk."""
    return struct.pack("<QI", len(raw), len(raw)) + raw + b"\0\0\0\0" if raw else b"\0" * 12


def read_plp(max_bytes: int, max_chunks: int | None = None) -> Reading[bytes | None]:
    """Read a partially length-prefixed value of at most `max_bytes` and `max_chunks`; None for NULL."""
    total = int.from_bytes((yield 8), "little")
    if total == PLP_NULL:
        return None
    if total != PLP_UNKNOWN_LENGTH and total > max_bytes:
        raise TdsProtocolError(f"value of {total} bytes exceeds the limit of {max_bytes} bytes")
    value = bytearray()
    chunks = 0
    while chunk := int.from_bytes((yield 4), "little"):
        if len(value) + chunk > max_bytes:
            raise TdsProtocolError(f"value exceeds the limit of {max_bytes} bytes")
        chunks += 1
        if max_chunks is not None and chunks > max_chunks:
            raise TdsProtocolError(f"value has more than {max_chunks} chunks")
        value += yield chunk
    if total not in (PLP_UNKNOWN_LENGTH, len(value)):
        raise TdsProtocolError(f"value has {len(value)} bytes, its declared length is {total}")
    return bytes(value)


def read_short_value() -> Reading[bytes | None]:
    """Read a value with a two-byte length; None for NULL."""
    size = int.from_bytes((yield 2), "little")
    return None if size == USHORT_MAX else (yield size)


def encode_rpc(name: str, arguments: dict[str, str | int | float]) -> bytes:
    """Encode the body of an RPC message with one call; arguments are sent as nvarchar(max), bigint or float."""
    pieces = [ALL_HEADERS, struct.pack("<H", len(name)), name.encode("utf-16-le"), b"\0\0"]
    for argument, value in arguments.items():
        pieces += (encode_b_varchar(argument), b"\0")
        if isinstance(value, str):
            pieces += (bytes([NVARCHAR]), b"\xff\xff", COLLATION, encode_plp(value.encode("utf-16-le")))
        elif isinstance(value, int):
            pieces.append(struct.pack("<BBBq", INTN, 8, 8, value))
        else:
            pieces.append(struct.pack("<BBBd", FLTN, 8, 8, value))
    return b"".join(pieces)


FIXED_TYPE_FORMATS = {
    INT1TYPE: ("<B", 1),
    BITTYPE: ("<B", 1),
    INT2TYPE: ("<h", 2),
    INT4TYPE: ("<i", 4),
    INT8TYPE: ("<q", 8),
    FLT4TYPE: ("<f", 4),
    FLT8TYPE: ("<d", 8),
}
DECIMAL_SIZES = frozenset((5, 9, 13, 17))  # sign and magnitude, in bytes (MS-TDS 2.2.5.5.1.6)
MAX_DECIMAL_SCALE = 38
INTEGER_FORMATS = {1: "<B", 2: "<h", 4: "<i", 8: "<q"}
FLOAT_FORMATS = {4: "<f", 8: "<d"}


def read_argument(cursor: ByteCursor) -> Any:
    """Read one argument: its TYPE_INFO and value. Raises `UnsupportedTdsError` for other types."""
    kind = cursor.read_int(1)
    if kind in CHARACTER_ENCODINGS:
        return _read_text_argument(cursor, CHARACTER_ENCODINGS[kind])
    if kind == NULLTYPE:
        return None
    if kind in FIXED_TYPE_FORMATS:
        number_format, size = FIXED_TYPE_FORMATS[kind]
        return struct.unpack(number_format, cursor.read(size))[0]
    if kind in (INTN, FLTN, BITN):
        return _read_nullable_number(cursor, FLOAT_FORMATS if kind == FLTN else INTEGER_FORMATS)
    if kind in (DECIMALN, NUMERICN):
        return _read_decimal(cursor)
    raise UnsupportedTdsError(f"arguments of type 0x{kind:02x}")


def _read_nullable_number(cursor: ByteCursor, formats: dict[int, str]) -> Any:
    cursor.read_int(1)
    size = cursor.read_int(1)
    if not size:
        return None
    if size not in formats:
        raise TdsProtocolError(f"number of {size} bytes: must be one of {', '.join(map(str, formats))}")
    return struct.unpack(formats[size], cursor.read(size))[0]


def _read_decimal(cursor: ByteCursor) -> float | None:
    cursor.read_int(2)
    scale = cursor.read_int(1)
    size = cursor.read_int(1)
    if not size:
        return None
    if size not in DECIMAL_SIZES or scale > MAX_DECIMAL_SCALE:
        raise TdsProtocolError(f"decimal of {size} bytes with scale {scale}")
    sign = 1 if cursor.read_int(1) else -1
    return float(sign * cursor.read_int(size - 1) / 10**scale)


def _read_text_argument(cursor: ByteCursor, encoding: str) -> str | None:
    declared = cursor.read_int(2)
    cursor.read(len(COLLATION))
    raw = cursor.run(read_plp(cursor.end, MAX_PLP_CHUNKS) if declared == USHORT_MAX else read_short_value())
    if raw is None:
        return None
    try:
        return raw.decode(encoding)
    except UnicodeDecodeError:
        raise TdsProtocolError(f"text argument is not valid {encoding}") from None


def parse_rpc(body: bytes) -> RpcCall:
    """Parse the body of an RPC message with one call."""
    cursor = skip_all_headers(body)
    try:
        size = cursor.read_int(2)
        name = f"#{cursor.read_int(2)}" if size == RPC_BY_NUMBER else cursor.read_text(size)
        cursor.read_int(2)
        arguments: dict[str, Any] = {}
        while cursor.remaining():
            # The first byte is the length of a parameter name; no supported parameter has a name as long as these.
            if cursor.data[cursor.position] in RPC_BATCH_FLAGS:
                raise UnsupportedTdsError("several calls in one message")
            if len(arguments) >= MAX_RPC_ARGUMENTS:
                raise UnsupportedTdsError(f"more than {MAX_RPC_ARGUMENTS} arguments")
            label = cursor.read_text(cursor.read_int(1)).lower()
            cursor.read_int(1)
            if label in arguments:
                raise UnsupportedTdsError(f"repeated argument {label or '(no name)'}")
            arguments[label] = read_argument(cursor)
    except IncompleteTokenError:
        raise TdsProtocolError("RPC request is truncated") from None
    return RpcCall(name, arguments)


# ---- responses


def encode_token(kind: int, body: bytes) -> bytes:
    """Encode a token that has a two-byte length."""
    return struct.pack("<BH", kind, len(body)) + body


def encode_notice(kind: int, number: int, state: int, severity: int, text: str, server: str) -> bytes:
    """Encode an ERROR or INFO token."""
    return encode_token(
        kind,
        struct.pack("<iBB", number, state, severity)
        + encode_us_varchar(text)
        + encode_b_varchar(server)
        + b"\0"
        + struct.pack("<i", 1),
    )


def encode_done(status: int, rows: int = 0, kind: int = DONE) -> bytes:
    """Encode a DONE, DONEPROC or DONEINPROC token."""
    return struct.pack("<BHHQ", kind, status, 0xC1, rows)


def encode_env_change(kind: int, new: str, old: str) -> bytes:
    """Encode an ENVCHANGE token with text values."""
    return encode_token(ENVCHANGE, bytes([kind]) + encode_b_varchar(new) + encode_b_varchar(old))


RESET_ACKNOWLEDGEMENT = encode_token(ENVCHANGE, b"\x12\0\0")  # type 18: acknowledges a connection reset


def encode_login_ack(version: int, program: str) -> bytes:
    """Encode a LOGINACK token."""
    return encode_token(LOGINACK, b"\x01" + struct.pack(">I", version) + encode_b_varchar(program) + b"\x10\0\0\0")


def encode_columns(names: Sequence[str]) -> bytes:
    """Encode a COLMETADATA token of nullable nvarchar(max) columns."""
    return struct.pack("<BH", COLMETADATA, len(names)) + b"".join(
        struct.pack("<IHBH", 0, 0x0009, NVARCHAR, USHORT_MAX) + COLLATION + encode_b_varchar(name) for name in names
    )


def encode_row(values: Sequence[str]) -> bytes:
    """Encode a ROW token of nvarchar(max) values."""
    return bytes([ROW]) + b"".join(encode_plp(value.encode("utf-16-le", "surrogatepass")) for value in values)


class Notice(NamedTuple):
    """The content of an ERROR or INFO token."""

    number: int
    state: int
    severity: int
    text: str


class Done(NamedTuple):
    """The content of a DONE, DONEPROC or DONEINPROC token."""

    status: int
    rows: int

"""TDS codec for clients and servers: packets, PRELOGIN, LOGIN7, requests and response tokens.

Implements the subset of MS-TDS that this program uses. Every length is checked against the available bytes before
use; malformed input raises `TdsProtocolError`.
"""

import struct
from collections.abc import Iterable, Iterator, Sequence
from typing import Any, NamedTuple

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

ENCRYPT_NOT_SUP = 2
COLLATION = bytes.fromhex("0904d00034")  # Latin1_General, case-insensitive
MAX = 0xFFFF  # as a declared length: a (max) type; as the length of a value: NULL
NO_PLP = (1 << 64) - 1  # PLP_NULL
UNKNOWN_PLP = (1 << 64) - 2  # PLP_UNKNOWN_LEN
PRELOGIN_OPTION_BYTES = 5
PRELOGIN_TERMINATOR = 0xFF
LOGIN_HEADER_BYTES = 94  # the fixed fields and the offsets of LOGIN7
LOGIN_INTEGRATED_SECURITY = 0x80  # in OptionFlags2
RPC_BY_NUMBER = 0xFFFF
RPC_BATCH_FLAGS = (0x80, 0xFF, 0xFE)  # separate the calls of one message


class TdsProtocolError(ValueError):
    """The bytes are not TDS, or not of a supported TDS version."""


class UnsupportedTdsError(ValueError):
    """Valid TDS that requests a feature which is not implemented."""


class IncompleteTokenError(Exception):
    """The buffered bytes end inside a token; more are expected."""


class ByteCursor:
    """Reads values from a buffer in place; reading past the end raises `IncompleteTokenError`."""

    __slots__ = ("data", "at", "end")

    def __init__(self, data: bytes | bytearray, at: int = 0, end: int | None = None):
        self.data = data
        self.at = at
        self.end = len(data) if end is None else end

    def take(self, size: int) -> bytes:
        """The next `size` bytes."""
        if size < 0 or self.at + size > self.end:
            raise IncompleteTokenError
        self.at += size
        return bytes(self.data[self.at - size : self.at])

    def number(self, size: int, signed: bool = False) -> int:
        """The next little-endian integer of `size` bytes."""
        return int.from_bytes(self.take(size), "little", signed=signed)

    def text(self, code_units: int) -> str:
        """The next UTF-16 text of `code_units` code units."""
        try:
            return self.take(2 * code_units).decode("utf-16-le")
        except UnicodeDecodeError:
            raise TdsProtocolError("text that is not UTF-16") from None

    def left(self) -> int:
        """The number of bytes not yet read."""
        return self.end - self.at


def b_text(text: str) -> bytes:
    """B_VARCHAR: UTF-16 text with a one-byte length, truncated to 255 code units."""
    raw = text[:255].encode("utf-16-le", "replace")[:510]
    return bytes([len(raw) // 2]) + raw


def us_text(text: str) -> bytes:
    """US_VARCHAR: UTF-16 text with a two-byte length, truncated to 2,000 characters."""
    raw = text[:2_000].encode("utf-16-le", "replace")
    return struct.pack("<H", len(raw) // 2) + raw


# ---- packets


class MessageAssembler:
    """Reassembles packets, split anywhere, into complete messages; buffers one message of at most `max_bytes`."""

    def __init__(self, max_bytes: int):
        self._max_bytes = max_bytes
        self._buffer = bytearray()
        self._kind = 0
        self._body = bytearray()
        self._reset = False

    @property
    def begun(self) -> bool:
        """Whether a message has been received in part."""
        return bool(self._buffer or self._body)

    def feed(self, data: bytes) -> Iterator[tuple[int, int, bytes]]:
        """(type, status bits of all its packets, body) of each message that is now complete."""
        for kind, status, body in self.feed_packets(data):
            if self._body and kind != self._kind:
                if kind != ATTENTION:
                    raise TdsProtocolError("a message inside another")
                # Attention inside a request cancels the request
                self._body = bytearray()
                self._reset = False
            if len(self._body) + len(body) > self._max_bytes:
                raise TdsProtocolError("a message over the limit")
            self._kind = kind
            self._body += body
            self._reset |= bool(status & RESET)
            if status & EOM:
                complete = bytes(self._body)
                reset = self._reset
                self._body = bytearray()
                self._reset = False
                yield kind, status | (RESET if reset else 0), complete

    def feed_packets(self, data: bytes) -> Iterator[tuple[int, int, bytes]]:
        """(type, status, body) of each packet that is now complete."""
        self._buffer += data
        while len(self._buffer) >= HEADER.size:
            kind, status, size, _, _, _ = HEADER.unpack_from(self._buffer)
            if not HEADER.size <= size <= MAX_PACKET_BYTES:
                raise TdsProtocolError(f"a packet of {size} bytes")
            if kind not in PACKET_TYPES:
                raise TdsProtocolError(f"a packet of type {kind}")
            if len(self._buffer) < size:
                return
            body = bytes(self._buffer[HEADER.size : size])
            del self._buffer[:size]
            yield kind, status, body


class Packetizer:
    """Splits an outgoing message into packets as it grows; the last packet has the EOM bit."""

    def __init__(self, kind: int, size: int):
        self._kind = kind
        self._capacity = size - HEADER.size
        self._packet_id = 0
        self._rest = bytearray()

    def add(self, pieces: Iterable[bytes]) -> list[bytes]:
        """Headers and bodies of the packets that are now full; the last one is retained for `end`."""
        for piece in pieces:
            self._rest += piece
        out: list[bytes] = []
        while len(self._rest) > self._capacity:
            out += self._packet(bytes(self._rest[: self._capacity]), 0)
            del self._rest[: self._capacity]
        return out

    def end(self, pieces: Iterable[bytes] = ()) -> list[bytes]:
        """Headers and bodies of all remaining packets, the last one with the EOM bit."""
        out = self.add(pieces)
        out += self._packet(bytes(self._rest), EOM)
        self._rest = bytearray()
        return out

    def _packet(self, body: bytes, status: int) -> tuple[bytes, bytes]:
        self._packet_id = (self._packet_id + 1) & 0xFF
        return HEADER.pack(self._kind, status, HEADER.size + len(body), 0, self._packet_id, 0), body


def encode_message(kind: int, body: bytes, size: int = DEFAULT_PACKET_BYTES) -> list[bytes]:
    """A complete message as packet headers and bodies; `size` is the packet size in bytes."""
    return Packetizer(kind, size).end((body,))


# ---- the hand-shake


def encode_prelogin(encryption: int = ENCRYPT_NOT_SUP) -> bytes:
    """VERSION, ENCRYPTION, INSTOPT, THREADID and MARS: no encryption, no MARS."""
    options = ((0, b"\x10\x00\x00\x00\x00\x00"), (1, bytes([encryption])), (2, b"\0"), (3, b""), (4, b"\0"))
    at = PRELOGIN_OPTION_BYTES * len(options) + 1
    heads = b""
    bodies = b""
    for option, body in options:
        heads += struct.pack(">BHH", option, at + len(bodies), len(body))
        bodies += body
    return heads + b"\xff" + bodies


def parse_prelogin(body: bytes) -> dict[int, bytes]:
    """The options of a PRELOGIN message by option number."""
    options: dict[int, bytes] = {}
    at = 0
    while at < len(body) and body[at] != PRELOGIN_TERMINATOR:
        if at + PRELOGIN_OPTION_BYTES > len(body):
            raise TdsProtocolError("PRELOGIN is cut off")
        option, offset, size = struct.unpack_from(">BHH", body, at)
        if offset + size > len(body):
            raise TdsProtocolError("PRELOGIN points outside itself")
        options[option] = body[offset : offset + size]
        at += PRELOGIN_OPTION_BYTES
    if at >= len(body):
        raise TdsProtocolError("PRELOGIN has no end")
    return options


class Login(NamedTuple):
    """The fields of LOGIN7 that the server uses."""

    version: int
    packet_size: int
    user: str
    password: str
    database: str
    integrated: bool


LOGIN_FIXED = struct.Struct("<IIIIIIBBBBiI")
LOGIN_TEXTS = ("host", "user", "password", "app", "server", "extension", "library", "language", "database")


def scrambled(password: bytes) -> bytes:
    """Obfuscate a password as LOGIN7 requires."""
    return bytes(((byte << 4 | byte >> 4) & 0xFF) ^ 0xA5 for byte in password)


def unscrambled(password: bytes) -> bytes:
    """The inverse of `scrambled`."""
    return bytes(((byte ^ 0xA5) << 4 | (byte ^ 0xA5) >> 4) & 0xFF for byte in password)


def encode_login7(user: str, password: str, database: str, packet_size: int) -> bytes:
    """The body of a LOGIN7 message; `packet_size` is in bytes."""
    texts = {
        "host": "rackhub",
        "user": user,
        "app": "rackhub",
        "server": "",
        "library": "rackhub",
        "database": database,
    }
    at = LOGIN_HEADER_BYTES
    heads = b""
    bodies = b""
    for name in LOGIN_TEXTS:
        raw = scrambled(password.encode("utf-16-le")) if name == "password" else texts.get(name, "").encode("utf-16-le")
        heads += struct.pack("<HH", at + len(bodies), len(raw) // 2)
        bodies += raw
    heads += b"\0" * 6 + struct.pack("<HHHHHHI", *(at + len(bodies), 0) * 3, 0)
    fixed = LOGIN_FIXED.pack(at + len(bodies), VERSION_74, packet_size, 0, 0, 0, 0xE0, 0x03, 0, 0, 0, 0x0409)
    return fixed + heads + bodies


def parse_login7(body: bytes) -> Login:
    """Parse the body of a LOGIN7 message."""
    if len(body) < LOGIN_HEADER_BYTES:
        raise TdsProtocolError("LOGIN7 is cut off")
    size, version, packet_size, *_ = LOGIN_FIXED.unpack_from(body)
    if size > len(body):
        raise TdsProtocolError("LOGIN7 is cut off")
    texts = {}
    for index, name in enumerate(LOGIN_TEXTS):
        at, code_units = struct.unpack_from("<HH", body, LOGIN_FIXED.size + 4 * index)
        if at + 2 * code_units > len(body):
            raise TdsProtocolError("LOGIN7 points outside itself")
        raw = body[at : at + 2 * code_units]
        try:
            texts[name] = (unscrambled(raw) if name == "password" else raw).decode("utf-16-le")
        except UnicodeDecodeError:
            raise TdsProtocolError("LOGIN7 holds text that is not UTF-16") from None
    return Login(
        version,
        packet_size,
        texts["user"],
        texts["password"],
        texts["database"],
        bool(body[25] & LOGIN_INTEGRATED_SECURITY),
    )


# ---- requests


def all_headers(body: bytes) -> ByteCursor:
    """A cursor behind the ALL_HEADERS block that begins a request (MS-TDS 2.2.5.3)."""
    if len(body) < 4 or not 4 <= int.from_bytes(body[:4], "little") <= len(body):
        raise TdsProtocolError("a request without its headers")
    return ByteCursor(body, int.from_bytes(body[:4], "little"))


HEADERS = struct.pack("<IIHQI", 22, 18, 2, 0, 1)  # one, of a transaction: none, one request outstanding


def encode_sql_batch(statement: str) -> bytes:
    """The body of a SQL batch message."""
    return HEADERS + statement.encode("utf-16-le")


def parse_sql_batch(body: bytes) -> str:
    """The statement of a SQL batch message."""
    cursor = all_headers(body)
    if cursor.left() % 2:
        raise TdsProtocolError("a batch of half a letter")
    return cursor.text(cursor.left() // 2)


class RpcCall(NamedTuple):
    """A remote procedure call: its name ('#10' for one called by number) and its arguments by lower-case name."""

    name: str
    arguments: dict[str, Any]


def plp(raw: bytes) -> bytes:
    """A value of a (max) type, in one chunk."""
    return struct.pack("<QI", len(raw), len(raw)) + raw + b"\0\0\0\0" if raw else b"\0" * 12


def read_plp(cursor: ByteCursor, max_bytes: int) -> bytes | None:
    """Read a partially length-prefixed value; None for NULL."""
    total = cursor.number(8)
    if total == NO_PLP:
        return None
    if total != UNKNOWN_PLP and total > max_bytes:
        raise TdsProtocolError("a value over the limit")
    chunks: list[bytes] = []
    size = 0
    while chunk := cursor.number(4):
        size += chunk
        if size > max_bytes:
            raise TdsProtocolError("a value over the limit")
        chunks.append(cursor.take(chunk))
    if total not in (UNKNOWN_PLP, size):
        raise TdsProtocolError("a value of another length than told")
    return b"".join(chunks)


def encode_rpc(name: str, arguments: dict[str, str | int | float]) -> bytes:
    """A call with nvarchar(max), bigint and float arguments."""
    pieces = [HEADERS, struct.pack("<H", len(name)), name.encode("utf-16-le"), b"\0\0"]
    for argument, value in arguments.items():
        pieces += (b_text(argument), b"\0")
        if isinstance(value, str):
            pieces += (bytes([NVARCHAR]), b"\xff\xff", COLLATION, plp(value.encode("utf-16-le")))
        elif isinstance(value, int):
            pieces.append(struct.pack("<BBBq", INTN, 8, 8, value))
        else:
            pieces.append(struct.pack("<BBBd", FLTN, 8, 8, value))
    return b"".join(pieces)


FIXED = {
    INT1TYPE: ("<B", 1),
    BITTYPE: ("<B", 1),
    INT2TYPE: ("<h", 2),
    INT4TYPE: ("<i", 4),
    INT8TYPE: ("<q", 8),
    FLT4TYPE: ("<f", 4),
    FLT8TYPE: ("<d", 8),
}
INTEGERS = {1: "<B", 2: "<h", 4: "<i", 8: "<q"}
FLOATS = {4: "<f", 8: "<d"}


def argument(cursor: ByteCursor) -> Any:
    """Read one argument: its TYPE_INFO and value. Raises `UnsupportedTdsError` for other types."""
    kind = cursor.number(1)
    if kind in CHARACTER_ENCODINGS:
        return _text_argument(cursor, CHARACTER_ENCODINGS[kind])
    if kind == NULLTYPE:
        return None
    if kind in FIXED:
        form, size = FIXED[kind]
        return struct.unpack(form, cursor.take(size))[0]
    if kind in (INTN, FLTN, BITN):
        return _nullable_number(cursor, FLOATS if kind == FLTN else INTEGERS)
    if kind in (DECIMALN, NUMERICN):
        return _decimal(cursor)
    raise UnsupportedTdsError(f"arguments of type 0x{kind:02x}")


def _nullable_number(cursor: ByteCursor, formats: dict[int, str]) -> Any:
    cursor.number(1)
    size = cursor.number(1)
    if not size:
        return None
    if size not in formats:
        raise TdsProtocolError(f"a number of {size} bytes")
    return struct.unpack(formats[size], cursor.take(size))[0]


def _decimal(cursor: ByteCursor) -> float | None:
    cursor.number(2)
    scale = cursor.number(1)
    size = cursor.number(1)
    if not size:
        return None
    sign = 1 if cursor.number(1) else -1
    return float(sign * cursor.number(size - 1) / 10**scale)


def _text_argument(cursor: ByteCursor, encoding: str) -> str | None:
    declared = cursor.number(2)
    cursor.take(len(COLLATION))
    raw = read_plp(cursor, cursor.end) if declared == MAX else _short_value(cursor)
    if raw is None:
        return None
    try:
        return raw.decode(encoding)
    except UnicodeDecodeError:
        raise TdsProtocolError("an argument that is not text") from None


def _short_value(cursor: ByteCursor) -> bytes | None:
    """Read a value with a two-byte length; None for NULL."""
    size = cursor.number(2)
    return None if size == MAX else cursor.take(size)


def parse_rpc(body: bytes) -> RpcCall:
    """Parse the body of an RPC message with one call."""
    cursor = all_headers(body)
    try:
        size = cursor.number(2)
        name = f"#{cursor.number(2)}" if size == RPC_BY_NUMBER else cursor.text(size)
        cursor.number(2)
        arguments: dict[str, Any] = {}
        while cursor.left():
            if cursor.data[cursor.at] in RPC_BATCH_FLAGS:  # no supported parameter has a name of this length
                raise UnsupportedTdsError("several calls in one message")
            label = cursor.text(cursor.number(1)).lower()
            cursor.number(1)
            if label in arguments:
                raise UnsupportedTdsError(f"the argument {label or 'without a name'} twice")
            arguments[label] = argument(cursor)
    except IncompleteTokenError:
        raise TdsProtocolError("a call is cut off") from None
    return RpcCall(name, arguments)


# ---- answers


def encode_token(kind: int, body: bytes) -> bytes:
    """A token with a two-byte length."""
    return struct.pack("<BH", kind, len(body)) + body


def encode_notice(kind: int, number: int, state: int, severity: int, text: str, server: str) -> bytes:
    """An ERROR or INFO token."""
    return encode_token(
        kind,
        struct.pack("<iBB", number, state, severity) + us_text(text) + b_text(server) + b"\0" + struct.pack("<i", 1),
    )


def encode_done(status: int, rows: int = 0, kind: int = DONE) -> bytes:
    """A DONE, DONEPROC or DONEINPROC token."""
    return struct.pack("<BHHQ", kind, status, 0xC1, rows)


def encode_env_change(kind: int, new: str, old: str) -> bytes:
    """An ENVCHANGE token with text values."""
    return encode_token(ENVCHANGE, bytes([kind]) + b_text(new) + b_text(old))


RESET_DONE = encode_token(ENVCHANGE, b"\x12\0\0")


def encode_login_ack(version: int, program: str) -> bytes:
    """A LOGINACK token."""
    return encode_token(LOGINACK, b"\x01" + struct.pack(">I", version) + b_text(program) + b"\x10\0\0\0")


def encode_columns(names: Sequence[str]) -> bytes:
    """COLMETADATA of nullable nvarchar(max) columns."""
    return struct.pack("<BH", COLMETADATA, len(names)) + b"".join(
        struct.pack("<IHBH", 0, 0x0009, NVARCHAR, MAX) + COLLATION + b_text(name) for name in names
    )


def encode_row(values: Sequence[str]) -> bytes:
    """A ROW token of nvarchar(max) values."""
    return bytes([ROW]) + b"".join(plp(value.encode("utf-16-le", "surrogatepass")) for value in values)


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


class TokenReader:
    """Parses the tokens of a response incrementally, each of at most `max_bytes`."""

    def __init__(self, max_bytes: int):
        self._max_bytes = max_bytes
        self._buffer = bytearray()
        self._columns: list[tuple[str, int]] = []  # encoding and declared length

    def feed(self, data: bytes) -> Iterator[tuple[int, Any]]:
        """(type, content) of each token that is now complete; the content is None or empty if unused."""
        self._buffer += data
        while self._buffer:
            cursor = ByteCursor(self._buffer)
            try:
                kind = cursor.number(1)
                value = self._value(kind, cursor)
            except IncompleteTokenError:
                if len(self._buffer) > self._max_bytes:
                    raise TdsProtocolError("a token over the limit") from None
                return
            del self._buffer[: cursor.at]
            yield kind, value

    def complete(self) -> bool:
        """Whether no part of a token is buffered."""
        return not self._buffer

    def _value(self, kind: int, cursor: ByteCursor) -> Any:
        if kind == ROW:
            return [self._cell(encoding, declared, cursor) for encoding, declared in self._columns]
        if kind in DONE_TOKENS:
            status, _, rows = struct.unpack("<HHQ", cursor.take(12))
            return Done(status, rows)
        if kind in (ERROR, INFO):
            return self._notice(cursor)
        if kind == COLMETADATA:
            count = cursor.number(2)
            self._columns = [] if count == MAX else [self._column(cursor) for _ in range(count)]
            return list(self._columns)
        if kind == RETURNSTATUS:
            return cursor.number(4, signed=True)
        if kind == RETURNVALUE:  # no call has output parameters
            raise UnsupportedTdsError("RETURNVALUE")
        if kind in SKIPPED_TOKENS:
            return self._inner(cursor).take(0)
        raise TdsProtocolError(f"a token 0x{kind:02x}")

    def _notice(self, cursor: ByteCursor) -> Notice:
        inner = self._inner(cursor)
        try:
            number, state, severity = struct.unpack("<iBB", inner.take(6))
            return Notice(number, state, severity, inner.text(inner.number(2)))
        except IncompleteTokenError:
            raise TdsProtocolError("a notice is cut off") from None

    @staticmethod
    def _inner(cursor: ByteCursor) -> ByteCursor:
        size = cursor.number(2)
        body = cursor.take(size)
        return ByteCursor(body)

    @staticmethod
    def _column(cursor: ByteCursor) -> tuple[str, int]:
        cursor.take(6)
        kind = cursor.number(1)
        if kind not in CHARACTER_ENCODINGS:
            raise UnsupportedTdsError(f"columns of type 0x{kind:02x}")
        size = cursor.number(2)
        cursor.take(5)
        cursor.text(cursor.number(1))
        return CHARACTER_ENCODINGS[kind], size

    def _cell(self, encoding: str, declared: int, cursor: ByteCursor) -> str:
        raw = read_plp(cursor, self._max_bytes) if declared == MAX else _short_value(cursor)
        try:
            return (raw or b"").decode(encoding)
        except UnicodeDecodeError:
            raise TdsProtocolError("a cell that is not text") from None

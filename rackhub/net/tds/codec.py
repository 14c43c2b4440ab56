"""TDS on the byte level, for both sides: packets, PRELOGIN, LOGIN7, requests and the tokens of answers.

Written from MS-TDS. What arrives is checked before it is used: every length is held against what is there,
so that bad bytes end as `BadTds` and never as a wrong answer.
"""

import struct
from collections.abc import Iterable, Iterator, Sequence
from typing import Any, NamedTuple

SQL_BATCH, RPC, REPLY, ATTENTION, BULK, TRANSACTION, LOGIN7, SSPI, PRELOGIN = 1, 3, 4, 6, 7, 14, 16, 17, 18
EOM, IGNORE, RESET = 0x01, 0x02, 0x08 | 0x10  # status bits of a packet
HEADER = struct.Struct(">BBHHBB")  # type, status, length, SPID, packet id, window
LEAST_PACKET, USUAL_PACKET, MOST_PACKET = 512, 4_096, 32_767
VERSION_72, VERSION_74 = 0x72090002, 0x74000004

COLMETADATA, ERROR, INFO, LOGINACK, ENVCHANGE, ROW, RETURNSTATUS = 0x81, 0xAA, 0xAB, 0xAD, 0xE3, 0xD1, 0x79
DONE, DONEPROC, DONEINPROC = 0xFD, 0xFE, 0xFF
DONE_MORE, DONE_ERROR, DONE_COUNT, DONE_ATTN = 0x01, 0x02, 0x10, 0x20
ENCRYPT_NOT_SUP = 2
COLLATION = bytes.fromhex("0904d00034")  # Latin1_General, case-insensitive: what most servers tell
NVARCHAR, MAX = 0xE7, 0xFFFF
NO_PLP, UNKNOWN_PLP = (1 << 64) - 1, (1 << 64) - 2


class BadTds(ValueError):
    """Bytes that are no TDS, or no TDS of the versions spoken here."""


class Unsupported(ValueError):
    """Sound TDS that asks for something this program does not do."""


class Short(Exception):
    """The bytes at hand end inside a token: more are to come."""


class Cut:
    """Reads values off bytes in place; running past the end raises `Short`."""

    __slots__ = ("data", "at", "end")

    def __init__(self, data: bytes | bytearray, at: int = 0, end: int | None = None):
        self.data, self.at, self.end = data, at, len(data) if end is None else end

    def take(self, size: int) -> bytes:
        if size < 0 or self.at + size > self.end:
            raise Short
        self.at += size
        return bytes(self.data[self.at - size : self.at])

    def number(self, size: int, signed: bool = False) -> int:
        return int.from_bytes(self.take(size), "little", signed=signed)

    def text(self, letters: int) -> str:
        try:
            return self.take(2 * letters).decode("utf-16-le")
        except UnicodeDecodeError:
            raise BadTds("text that is not UTF-16") from None

    def left(self) -> int:
        return self.end - self.at


def b_text(text: str) -> bytes:
    raw = text[:255].encode("utf-16-le", "replace")[:510]
    return bytes([len(raw) // 2]) + raw


def us_text(text: str) -> bytes:
    raw = text[:2_000].encode("utf-16-le", "replace")
    return struct.pack("<H", len(raw) // 2) + raw


# ---- packets


class Assembler:
    """Packets split anywhere in, whole messages out. Holds one message at most, of a bounded size."""

    def __init__(self, most: int):
        self._most, self._buffer = most, bytearray()
        self._kind, self._body, self._reset = 0, bytearray(), False

    @property
    def begun(self) -> bool:
        """Whether a message has come in part."""
        return bool(self._buffer or self._body)

    def feed(self, data: bytes) -> Iterator[tuple[int, int, bytes]]:
        """(type, status bits of all its packets, body) of each message that is now whole."""
        for kind, status, body in self.packets(data):
            if self._body and kind != self._kind:
                if kind != ATTENTION:
                    raise BadTds("a message inside another")
                self._body, self._reset = bytearray(), False  # a cancel in mid-request: that one is void
            if len(self._body) + len(body) > self._most:
                raise BadTds("a message over the limit")
            self._kind = kind
            self._body += body
            self._reset |= bool(status & RESET)
            if status & EOM:
                whole, reset = bytes(self._body), self._reset
                self._body, self._reset = bytearray(), False
                yield kind, status | (RESET if reset else 0), whole

    def packets(self, data: bytes) -> Iterator[tuple[int, int, bytes]]:
        """(type, status, body) of each packet that is now whole."""
        self._buffer += data
        while len(self._buffer) >= HEADER.size:
            kind, status, size, _, _, _ = HEADER.unpack_from(self._buffer)
            if not HEADER.size <= size <= MOST_PACKET:
                raise BadTds(f"a packet of {size} bytes")
            if kind not in (SQL_BATCH, RPC, REPLY, ATTENTION, BULK, TRANSACTION, LOGIN7, SSPI, PRELOGIN):
                raise BadTds(f"a packet of type {kind}")
            if len(self._buffer) < size:
                return
            body = bytes(self._buffer[HEADER.size : size])
            del self._buffer[:size]
            yield kind, status, body


class Packetizer:
    """A message on its way out, cut to packets as it grows; the last one bears the end mark."""

    def __init__(self, kind: int, size: int):
        self._kind, self._room, self._number, self._rest = kind, size - HEADER.size, 0, bytearray()

    def add(self, pieces: Iterable[bytes]) -> list[bytes]:
        """Heads and bodies of the packets that are full now; one packet's worth is kept for the end."""
        for piece in pieces:
            self._rest += piece
        out: list[bytes] = []
        while len(self._rest) > self._room:
            out += self._packet(bytes(self._rest[: self._room]), 0)
            del self._rest[: self._room]
        return out

    def end(self, pieces: Iterable[bytes] = ()) -> list[bytes]:
        out = self.add(pieces)
        out += self._packet(bytes(self._rest), EOM)
        self._rest = bytearray()
        return out

    def _packet(self, body: bytes, status: int) -> tuple[bytes, bytes]:
        self._number = (self._number + 1) & 0xFF
        return HEADER.pack(self._kind, status, HEADER.size + len(body), 0, self._number, 0), body


def message(kind: int, body: bytes, size: int = USUAL_PACKET) -> list[bytes]:
    return Packetizer(kind, size).end((body,))


# ---- the hand-shake


def prelogin(encryption: int = ENCRYPT_NOT_SUP) -> bytes:
    """VERSION, ENCRYPTION, INSTOPT, THREADID and MARS: no encryption, no MARS."""
    options = ((0, b"\x10\x00\x00\x00\x00\x00"), (1, bytes([encryption])), (2, b"\0"), (3, b""), (4, b"\0"))
    at, heads, bodies = 5 * len(options) + 1, b"", b""
    for option, body in options:
        heads += struct.pack(">BHH", option, at + len(bodies), len(body))
        bodies += body
    return heads + b"\xff" + bodies


def prelogin_options(body: bytes) -> dict[int, bytes]:
    options, at = {}, 0
    while at < len(body) and body[at] != 0xFF:
        if at + 5 > len(body):
            raise BadTds("PRELOGIN is cut off")
        option, offset, size = struct.unpack_from(">BHH", body, at)
        if offset + size > len(body):
            raise BadTds("PRELOGIN points outside itself")
        options[option] = body[offset : offset + size]
        at += 5
    if at >= len(body):
        raise BadTds("PRELOGIN has no end")
    return options


class Login(NamedTuple):
    """What is heeded of LOGIN7."""

    version: int
    packet_size: int
    user: str
    password: str
    database: str
    integrated: bool


LOGIN_FIXED = struct.Struct("<IIIIIIBBBBiI")
LOGIN_TEXTS = ("host", "user", "password", "app", "server", "extension", "library", "language", "database")


def scrambled(password: bytes) -> bytes:
    return bytes(((byte << 4 | byte >> 4) & 0xFF) ^ 0xA5 for byte in password)


def unscrambled(password: bytes) -> bytes:
    return bytes(((byte ^ 0xA5) << 4 | (byte ^ 0xA5) >> 4) & 0xFF for byte in password)


def login7(user: str, password: str, database: str, packet_size: int) -> bytes:
    texts = {
        "host": "rackhub",
        "user": user,
        "app": "rackhub",
        "server": "",
        "library": "rackhub",
        "database": database,
    }
    at, heads, bodies = 94, b"", b""
    for name in LOGIN_TEXTS:
        raw = scrambled(password.encode("utf-16-le")) if name == "password" else texts.get(name, "").encode("utf-16-le")
        heads += struct.pack("<HH", at + len(bodies), len(raw) // 2)
        bodies += raw
    heads += b"\0" * 6 + struct.pack("<HHHHHHI", *(at + len(bodies), 0) * 3, 0)
    fixed = LOGIN_FIXED.pack(at + len(bodies), VERSION_74, packet_size, 0, 0, 0, 0xE0, 0x03, 0, 0, 0, 0x0409)
    return fixed + heads + bodies


def login_of(body: bytes) -> Login:
    if len(body) < 94:
        raise BadTds("LOGIN7 is cut off")
    size, version, packet_size, *_ = LOGIN_FIXED.unpack_from(body)
    if size > len(body):
        raise BadTds("LOGIN7 is cut off")
    texts = {}
    for i, name in enumerate(LOGIN_TEXTS):
        at, letters = struct.unpack_from("<HH", body, LOGIN_FIXED.size + 4 * i)
        if at + 2 * letters > len(body):
            raise BadTds("LOGIN7 points outside itself")
        raw = body[at : at + 2 * letters]
        try:
            texts[name] = (unscrambled(raw) if name == "password" else raw).decode("utf-16-le")
        except UnicodeDecodeError:
            raise BadTds("LOGIN7 holds text that is not UTF-16") from None
    return Login(version, packet_size, texts["user"], texts["password"], texts["database"], bool(body[25] & 0x80))


# ---- requests


def all_headers(body: bytes) -> Cut:
    """Past the headers that open a request (MS-TDS 2.2.5.3)."""
    if len(body) < 4 or not 4 <= int.from_bytes(body[:4], "little") <= len(body):
        raise BadTds("a request without its headers")
    return Cut(body, int.from_bytes(body[:4], "little"))


HEADERS = struct.pack("<IIHQI", 22, 18, 2, 0, 1)  # one, of a transaction: none, one request outstanding


def batch(statement: str) -> bytes:
    return HEADERS + statement.encode("utf-16-le")


def batch_text(body: bytes) -> str:
    cut = all_headers(body)
    if cut.left() % 2:
        raise BadTds("a batch of half a letter")
    return cut.text(cut.left() // 2)


class Call(NamedTuple):
    """A remote procedure call: its name ('#10' for one called by number) and its arguments by lower-case name."""

    name: str
    arguments: dict[str, Any]


def plp(raw: bytes) -> bytes:
    """A value of a (max) type, in one chunk."""
    return struct.pack("<QI", len(raw), len(raw)) + raw + b"\0\0\0\0" if raw else b"\0" * 12


def read_plp(cut: Cut, most: int) -> bytes | None:
    total = cut.number(8)
    if total == NO_PLP:
        return None
    if total != UNKNOWN_PLP and total > most:
        raise BadTds("a value over the limit")
    parts, size = [], 0
    while piece := cut.number(4):
        size += piece
        if size > most:
            raise BadTds("a value over the limit")
        parts.append(cut.take(piece))
    if total not in (UNKNOWN_PLP, size):
        raise BadTds("a value of another length than told")
    return b"".join(parts)


def rpc(name: str, arguments: dict[str, str | int | float]) -> bytes:
    """A call with nvarchar(max), bigint and float arguments."""
    pieces = [HEADERS, struct.pack("<H", len(name)), name.encode("utf-16-le"), b"\0\0"]
    for argument, value in arguments.items():
        pieces += (b_text(argument), b"\0")
        if isinstance(value, str):
            pieces += (bytes([NVARCHAR]), b"\xff\xff", COLLATION, plp(value.encode("utf-16-le")))
        elif isinstance(value, int):
            pieces.append(struct.pack("<BBBq", 0x26, 8, 8, value))
        else:
            pieces.append(struct.pack("<BBBd", 0x6D, 8, 8, value))
    return b"".join(pieces)


FIXED = {
    0x30: ("<B", 1),
    0x32: ("<B", 1),
    0x34: ("<h", 2),
    0x38: ("<i", 4),
    0x7F: ("<q", 8),
    0x3B: ("<f", 4),
    0x3E: ("<d", 8),
}
INTEGERS, FLOATS = {1: "<B", 2: "<h", 4: "<i", 8: "<q"}, {4: "<f", 8: "<d"}


def argument(cut: Cut) -> Any:
    """The value of one argument, of the types that the documented parameters can have."""
    kind = cut.number(1)
    if kind == 0x1F:
        return None
    if kind in FIXED:
        form, size = FIXED[kind]
        return struct.unpack(form, cut.take(size))[0]
    if kind in (0x26, 0x6D, 0x68):  # INTN, FLTN, BITN
        cut.number(1)
        size = cut.number(1)
        if not size:
            return None
        forms = FLOATS if kind == 0x6D else INTEGERS
        if size not in forms:
            raise BadTds(f"a number of {size} bytes")
        return struct.unpack(forms[size], cut.take(size))[0]
    if kind in (0x6A, 0x6C):  # DECIMALN, NUMERICN
        cut.number(2)
        scale, size = cut.number(1), cut.number(1)
        if not size:
            return None
        sign = cut.number(1)
        return (1 if sign else -1) * cut.number(size - 1) / 10**scale
    if kind in (NVARCHAR, 0xEF, 0xA7, 0xAF):  # NVARCHAR, NCHAR, BIGVARCHAR, BIGCHAR
        most = cut.number(2)
        cut.take(5)
        if most == MAX:
            raw = read_plp(cut, cut.end)
        else:
            size = cut.number(2)
            raw = None if size == MAX else cut.take(size)
        if raw is None:
            return None
        try:
            return raw.decode("utf-16-le" if kind in (NVARCHAR, 0xEF) else "cp1252")
        except UnicodeDecodeError:
            raise BadTds("an argument that is not text") from None
    raise Unsupported(f"arguments of type 0x{kind:02x}")


def call_of(body: bytes) -> Call:
    cut = all_headers(body)
    try:
        size = cut.number(2)
        name = f"#{cut.number(2)}" if size == 0xFFFF else cut.text(size)
        cut.number(2)
        arguments: dict[str, Any] = {}
        while cut.left():
            if cut.data[cut.at] in (0x80, 0xFF, 0xFE):  # marks between calls; no name of ours is so long
                raise Unsupported("several calls in one message")
            label = cut.text(cut.number(1)).lower()
            cut.number(1)
            if label in arguments:
                raise Unsupported(f"the argument {label or 'without a name'} twice")
            arguments[label] = argument(cut)
    except Short:
        raise BadTds("a call is cut off") from None
    return Call(name, arguments)


# ---- answers


def token_of(kind: int, body: bytes) -> bytes:
    return struct.pack("<BH", kind, len(body)) + body


def notice(kind: int, number: int, state: int, severity: int, text: str, server: str) -> bytes:
    """An ERROR or INFO token."""
    return token_of(
        kind,
        struct.pack("<iBB", number, state, severity) + us_text(text) + b_text(server) + b"\0" + struct.pack("<i", 1),
    )


def done(status: int, rows: int = 0, kind: int = DONE) -> bytes:
    return struct.pack("<BHHQ", kind, status, 0xC1, rows)


def env_text(kind: int, new: str, old: str) -> bytes:
    return token_of(ENVCHANGE, bytes([kind]) + b_text(new) + b_text(old))


RESET_DONE = token_of(ENVCHANGE, b"\x12\0\0")


def login_ack(version: int, program: str) -> bytes:
    return token_of(LOGINACK, b"\x01" + struct.pack(">I", version) + b_text(program) + b"\x10\0\0\0")


def columns(names: Sequence[str]) -> bytes:
    """COLMETADATA of nullable nvarchar(max) columns."""
    return struct.pack("<BH", COLMETADATA, len(names)) + b"".join(
        struct.pack("<IHBH", 0, 0x0009, NVARCHAR, MAX) + COLLATION + b_text(name) for name in names
    )


def row(values: Sequence[str]) -> bytes:
    return bytes([ROW]) + b"".join(plp(value.encode("utf-16-le", "surrogatepass")) for value in values)


class Notice(NamedTuple):
    number: int
    state: int
    severity: int
    text: str


class Done(NamedTuple):
    status: int
    rows: int


class TokenReader:
    """The tokens of an answer as its packets come in: (kind, value), where value is what is heeded of it."""

    def __init__(self, most: int):
        self._most, self._buffer, self._columns = most, bytearray(), []

    def feed(self, data: bytes) -> Iterator[tuple[int, Any]]:
        self._buffer += data
        while self._buffer:
            cut = Cut(self._buffer)
            try:
                kind = cut.number(1)
                value = self._value(kind, cut)
            except Short:
                if len(self._buffer) > self._most:
                    raise BadTds("a token over the limit") from None
                return
            del self._buffer[: cut.at]
            yield kind, value

    def whole(self) -> bool:
        return not self._buffer

    def _value(self, kind: int, cut: Cut) -> Any:
        if kind in (DONE, DONEPROC, DONEINPROC):
            status, _, rows = struct.unpack("<HHQ", cut.take(12))
            return Done(status, rows)
        if kind in (ERROR, INFO):
            inner = self._inner(cut)
            try:
                number, state, severity = struct.unpack("<iBB", inner.take(6))
                return Notice(number, state, severity, inner.text(inner.number(2)))
            except Short:
                raise BadTds("a notice is cut off") from None
        if kind == COLMETADATA:
            count = cut.number(2)
            self._columns = [] if count == 0xFFFF else [self._column(cut) for _ in range(count)]
            return list(self._columns)
        if kind == ROW:
            return [self._cell(type_, size, cut) for type_, size in self._columns]
        if kind == RETURNSTATUS:
            return cut.number(4, signed=True)
        if kind == 0xAC:  # RETURNVALUE: none is asked for
            raise Unsupported("RETURNVALUE")
        if kind in (LOGINACK, ENVCHANGE, 0xA9, 0xA4, 0xA5, 0xED):  # also ORDER, TABNAME, COLINFO, SSPI
            return self._inner(cut).take(0)
        raise BadTds(f"a token 0x{kind:02x}")

    @staticmethod
    def _inner(cut: Cut) -> Cut:
        size = cut.number(2)
        body = cut.take(size)
        return Cut(body)

    @staticmethod
    def _column(cut: Cut) -> tuple[int, int]:
        cut.take(6)
        kind = cut.number(1)
        if kind not in (NVARCHAR, 0xEF, 0xA7, 0xAF):
            raise Unsupported(f"columns of type 0x{kind:02x}")
        size = cut.number(2)
        cut.take(5)
        cut.text(cut.number(1))
        return kind, size

    def _cell(self, kind: int, most: int, cut: Cut) -> str:
        if most == MAX:
            raw = read_plp(cut, self._most)
        else:
            size = cut.number(2)
            raw = None if size == MAX else cut.take(size)
        try:
            return (raw or b"").decode("utf-16-le" if kind in (NVARCHAR, 0xEF) else "cp1252")
        except UnicodeDecodeError:
            raise BadTds("a cell that is not text") from None

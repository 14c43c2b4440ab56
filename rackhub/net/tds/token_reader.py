"""Incremental parser of the tokens of a TDS response (MS-TDS 2.2.7).

An engine may send a token in packets of a few bytes. The parser resumes where it waited, so its work is linear in the
bytes received; parsing an incomplete token again with each packet would take time in the square of the token's length.
"""

import struct
from collections.abc import Generator, Iterator
from typing import Any, NamedTuple

from rackhub.net.tds.codec import (
    CHARACTER_ENCODINGS,
    COLMETADATA,
    DONE_TOKENS,
    ERROR,
    INFO,
    RETURNSTATUS,
    RETURNVALUE,
    ROW,
    SKIPPED_TOKENS,
    USHORT_MAX,
    ByteCursor,
    Done,
    IncompleteTokenError,
    Notice,
    Reading,
    TdsProtocolError,
    UnsupportedTdsError,
    decode_text,
    read_plp,
    read_short_value,
)

Token = tuple[int, Any]
DONE_FIELDS = struct.Struct("<HHQ")  # status, current command, number of rows
NOTICE_FIELDS = struct.Struct("<iBB")  # number, state, severity


class Column(NamedTuple):
    """A column of a result: the encoding of its values, and their declared length in bytes."""

    encoding: str
    declared_length: int


class TokenReader:
    """Parses the tokens of a response incrementally, each of at most `max_bytes`."""

    def __init__(self, max_bytes: int):
        self._max_bytes = max_bytes
        self._buffer = bytearray()  # bytes received and not read yet
        self._token_bytes = 0  # bytes read of the current token
        self._columns: list[Column] = []
        self._parser = self._parse()

    def feed(self, data: bytes) -> Iterator[Token]:
        """Add received bytes and yield (type, content) of each token that is now complete.

        The content of a token that is not used is None or empty.
        """
        self._buffer += data
        while (token := next(self._parser)) is not None:
            yield token

    def close(self) -> None:
        """End the parser, which refers to this object, so that neither waits for the garbage collector."""
        self._parser.close()

    def at_token_boundary(self) -> bool:
        """Whether all received tokens are complete."""
        return not self._buffer and not self._token_bytes

    def _parse(self) -> Generator[Token | None, None, None]:
        """Yield the tokens, and None each time that more bytes are needed."""
        while True:
            reading = self._read_token()
            size = next(reading)
            while True:
                while len(self._buffer) < size:
                    if self._token_bytes + len(self._buffer) > self._max_bytes:
                        raise TdsProtocolError(f"token exceeds the limit of {self._max_bytes} bytes")
                    yield None
                try:
                    size = reading.send(self._take(size))
                except StopIteration as finished:
                    token: Token = finished.value
                    break
            self._token_bytes = 0
            yield token

    def _take(self, size: int) -> bytes:
        taken = bytes(self._buffer[:size])
        del self._buffer[:size]
        self._token_bytes += size
        return taken

    def _read_token(self) -> Reading[Token]:
        kind = (yield 1)[0]
        return kind, (yield from self._read_value(kind))

    def _read_value(self, kind: int) -> Reading[Any]:
        if kind == ROW:
            return (yield from self._read_row())
        if kind in DONE_TOKENS:
            status, _, rows = DONE_FIELDS.unpack((yield DONE_FIELDS.size))
            return Done(status, rows)
        if kind in (ERROR, INFO):
            return _parse_notice((yield from _read_sized()))
        if kind == COLMETADATA:
            return (yield from self._read_columns())
        if kind == RETURNSTATUS:
            return int.from_bytes((yield 4), "little", signed=True)
        if kind == RETURNVALUE:  # calls to engines have no output parameters
            raise UnsupportedTdsError("RETURNVALUE")
        if kind in SKIPPED_TOKENS:
            yield from _read_sized()
            return b""
        raise TdsProtocolError(f"unknown token type 0x{kind:02x}")

    def _read_columns(self) -> Reading[list[Column]]:
        count = int.from_bytes((yield 2), "little")
        columns: list[Column] = []
        for _ in range(0 if count == USHORT_MAX else count):
            columns.append((yield from _read_column()))
        self._columns = columns
        return list(columns)

    def _read_row(self) -> Reading[list[str]]:
        values: list[str] = []
        for column in self._columns:
            has_chunks = column.declared_length == USHORT_MAX
            raw = yield from read_plp(self._max_bytes) if has_chunks else read_short_value()
            try:
                values.append((raw or b"").decode(column.encoding))
            except UnicodeDecodeError:
                raise TdsProtocolError(f"column value is not valid {column.encoding}") from None
        return values


def _read_sized() -> Reading[bytes]:
    """Read the body of a token that begins with its length."""
    size = int.from_bytes((yield 2), "little")
    return (yield size)


def _read_column() -> Reading[Column]:
    yield 6  # user type and flags
    kind = (yield 1)[0]
    if kind not in CHARACTER_ENCODINGS:
        raise UnsupportedTdsError(f"columns of type 0x{kind:02x}")
    declared_length = int.from_bytes((yield 2), "little")
    yield 5  # collation
    name_code_units = (yield 1)[0]
    decode_text((yield 2 * name_code_units))  # the name is not used, but must be valid
    return Column(CHARACTER_ENCODINGS[kind], declared_length)


def _parse_notice(body: bytes) -> Notice:
    cursor = ByteCursor(body)
    try:
        number, state, severity = NOTICE_FIELDS.unpack(cursor.read(NOTICE_FIELDS.size))
        return Notice(number, state, severity, cursor.read_text(cursor.read_int(2)))
    except IncompleteTokenError:
        raise TdsProtocolError("ERROR or INFO token is truncated") from None

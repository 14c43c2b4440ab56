"""An incremental parser of RESP arrays of bulk strings, which accepts frames in pieces of any size."""

from typing import Any

from twisted.protocols.basic import LineReceiver

from rackhub.core.timers import Clock
from rackhub.limits import Limits
from rackhub.net.resp_protocol import InvalidFrameError

ANSWER_HEADER = b"*4\r\n"  # the header of nearly all answers
ANSWER_STRINGS = 4
BULK_MARK = ord("$")
MAX_STRINGS = 16  # maximum length of an array
MAX_SIZE_DIGITS = 9  # maximum number of digits of a size in a header


class RespReader(LineReceiver):
    """The receiving side of a connection, which calls `frame_received` for each array.

    `_strings_missing` is the number of bulk strings that the current array still lacks, 0 between arrays.
    """

    MAX_LENGTH = 65_536  # maximum size of a header line in bytes; `__init__` sets it from the limits
    delimiter = b"\r\n"
    transport: Any  # Twisted's TCP connection

    def __init__(self, clock: Clock, limits: Limits):
        self.clock = clock
        self.limits = limits
        self.MAX_LENGTH = limits.max_resp_header_bytes
        self.closed = False  # set when the connection is lost or to be closed; further input is ignored
        self.last_received = clock.now()
        self.incomplete_since = 0  # arrival of the first bytes of an incomplete frame; 0 without one
        self._strings_missing = 0
        self._strings: list[bytes] = []
        self._string_size = -1  # size of the current bulk string with its end of line
        self._chunks: list[bytes] = []  # the received pieces of the current bulk string
        self._chunks_size = 0
        self._frames = 0  # number of received frames

    def frame_received(self, strings: list[bytes]) -> None:
        """Handle one array. Raises `InvalidFrameError`."""
        raise NotImplementedError

    def malformed(self, error: InvalidFrameError) -> None:
        """Handle malformed input, after which nothing on the connection can be trusted."""
        raise NotImplementedError

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parse received bytes (Twisted)."""
        if self.closed:
            return
        self.last_received = self.clock.now()
        try:
            frames_before = self._frames
            if self._between_frames():
                data = self._read_complete_answers(data)
            if data:
                super().dataReceived(data)  # type: ignore[no-untyped-call]
                between = self._between_frames()
                if between or frames_before != self._frames or not self.incomplete_since:
                    self.incomplete_since = 0 if between else self.last_received
        except InvalidFrameError as error:
            self.malformed(error)

    def _between_frames(self) -> bool:
        """Return whether no part of a further frame has been received."""
        return not self._strings_missing and bool(self.line_mode) and not self._buffer

    def _read_complete_answers(self, data: bytes) -> bytes:
        """Handle the complete answers at the beginning of `data`, and return the rest for the line parser.

        This is a fast path, as the line parser makes eight callbacks per frame.
        """
        frame_start = 0
        size = len(data)
        while data.startswith(ANSWER_HEADER, frame_start):
            strings = []
            position = frame_start + len(ANSWER_HEADER)
            for _ in range(ANSWER_STRINGS):
                header_end = data.find(b"\r\n", position, position + self.limits.max_resp_header_bytes)
                length = data[position + 1 : header_end] if header_end > 0 and data[position] == BULK_MARK else b""
                if not length.isdigit() or len(length) > MAX_SIZE_DIGITS:
                    return data[frame_start:]  # incomplete or invalid, which the line parser finds out
                position = header_end + 2 + int(length)
                if (
                    position + 2 > size
                    or int(length) > self.limits.max_resp_string_bytes
                    or data[position : position + 2] != b"\r\n"
                ):
                    return data[frame_start:]
                strings.append(data[header_end + 2 : position])
                position += 2
            frame_start = position
            self.frame_received(strings)
            if self.closed:
                return b""
        return data[frame_start:]

    def lineLengthExceeded(self, line: bytes) -> None:  # noqa: N802
        """Reject a header that is too long (Twisted)."""
        raise InvalidFrameError(f"a header line of more than {self.MAX_LENGTH} bytes")

    def lineReceived(self, line: bytes) -> None:  # noqa: N802
        """Read the header of an array or of a bulk string (Twisted)."""
        if self.closed:
            return
        if not self._strings_missing:
            self._strings_missing = self._size_in(line, b"*", MAX_STRINGS)
            self._strings = []
            if not self._strings_missing:
                raise InvalidFrameError("an empty array")
        else:
            self._string_size = self._size_in(line, b"$", self.limits.max_resp_string_bytes) + len(self.delimiter)
            self._chunks = []
            self._chunks_size = 0
            self.setRawMode()  # type: ignore[no-untyped-call]

    @staticmethod
    def _size_in(header: bytes, mark: bytes, maximum: int) -> int:
        digits = header[1:]
        if header[:1] != mark or not digits.isdigit() or len(digits) > MAX_SIZE_DIGITS or int(digits) > maximum:
            raise InvalidFrameError(f"header {header[:40]!r}, {mark.decode()} and a size up to {maximum} expected")
        return int(digits)

    def rawDataReceived(self, data: bytes) -> None:  # noqa: N802
        """Read a piece of a bulk string (Twisted)."""
        if self.closed:
            return
        chunk = data[: self._string_size - self._chunks_size]
        self._chunks.append(chunk)
        self._chunks_size += len(chunk)
        if self._chunks_size < self._string_size:
            return
        bulk = b"".join(self._chunks) if len(self._chunks) > 1 else chunk
        if bulk[-2:] != b"\r\n":
            raise InvalidFrameError("a bulk string that is not followed by CR LF")
        self._strings.append(bulk[:-2])
        self._strings_missing -= 1
        if not self._strings_missing:
            self.frame_received(self._strings)
        self.setLineMode(data[len(chunk) :])  # type: ignore[no-untyped-call]

"""An incremental parser of RESP arrays of bulk strings, which accepts a frame in pieces of any size."""

from typing import Any

from twisted.protocols.basic import LineReceiver

from rackhub.core.timers import Clock
from rackhub.limits import Limits
from rackhub.net.resp_protocol import InvalidFrameError

ANSWER_HEADER = b"*4\r\n"  # of the array that nearly all answers are
ANSWER_STRINGS = 4
BULK_MARK = ord("$")
MAX_STRINGS = 16  # of one array
MAX_SIZE_DIGITS = 9  # of a size in a header


class RespReader(LineReceiver):
    """The receiving side of a connection: calls `frame_received` for each array.

    The parser's state is in `_strings_missing`: how many bulk strings the present array still needs, 0 between arrays.
    """

    MAX_LENGTH = 65_536  # of a header line, in bytes; per instance from the limits
    delimiter = b"\r\n"
    transport: Any  # Twisted's TCP connection

    def __init__(self, clock: Clock, limits: Limits):
        self.clock = clock
        self.limits = limits
        self.MAX_LENGTH = limits.max_resp_header_bytes
        self.closed = False  # lost, or to be closed: nothing more is read
        self.last_received = clock.now()
        self.incomplete_since = 0  # when a frame began that is not complete yet; 0: there is none
        self._strings_missing = 0
        self._strings: list[bytes] = []
        self._string_size = -1  # of the present bulk string, with its end of line
        self._chunks: list[bytes] = []  # of the present bulk string
        self._chunks_size = 0
        self._frames = 0

    def frame_received(self, strings: list[bytes]) -> None:
        """Handle one array; raises `InvalidFrameError`."""
        raise NotImplementedError

    def malformed(self, error: InvalidFrameError) -> None:
        """Handle bytes after which nothing on the connection can be trusted."""
        raise NotImplementedError

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parse what came (Twisted)."""
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
        """Whether no part of a frame has come after the last one."""
        return not self._strings_missing and bool(self.line_mode) and not self._buffer

    def _read_complete_answers(self, data: bytes) -> bytes:
        """Handle the answers that are complete at the front of `data`, and return the rest for the parser's states.

        A fast path: the states cost eight callbacks a frame.
        """
        at = 0
        size = len(data)
        while data.startswith(ANSWER_HEADER, at):
            strings = []
            here = at + len(ANSWER_HEADER)
            for _ in range(ANSWER_STRINGS):
                end = data.find(b"\r\n", here, here + self.limits.max_resp_header_bytes)
                length = data[here + 1 : end] if end > 0 and data[here] == BULK_MARK else b""
                if not length.isdigit() or len(length) > MAX_SIZE_DIGITS:
                    return data[at:]  # incomplete or invalid: the states tell which
                here = end + 2 + int(length)
                if (
                    here + 2 > size
                    or int(length) > self.limits.max_resp_string_bytes
                    or data[here : here + 2] != b"\r\n"
                ):
                    return data[at:]
                strings.append(data[end + 2 : here])
                here += 2
            at = here
            self.frame_received(strings)
            if self.closed:
                return b""
        return data[at:]

    def lineLengthExceeded(self, line: bytes) -> None:  # noqa: N802
        """Reject a header that is too long (Twisted)."""
        raise InvalidFrameError("a head line is too long")

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
            raise InvalidFrameError(f"a head {header[:40]!r}")
        return int(digits)

    def rawDataReceived(self, data: bytes) -> None:  # noqa: N802
        """Read a part of a bulk string (Twisted)."""
        if self.closed:
            return
        chunk = data[: self._string_size - self._chunks_size]
        self._chunks.append(chunk)
        self._chunks_size += len(chunk)
        if self._chunks_size < self._string_size:
            return
        bulk = b"".join(self._chunks) if len(self._chunks) > 1 else chunk
        if bulk[-2:] != b"\r\n":
            raise InvalidFrameError("a bulk string without its end")
        self._strings.append(bulk[:-2])
        self._strings_missing -= 1
        if not self._strings_missing:
            self.frame_received(self._strings)
        self.setLineMode(data[len(chunk) :])  # type: ignore[no-untyped-call]

"""Handling of an engine's RESP answers: results in pages, progress reports, overload and errors.

Duplicates and answers to ids that are not open are ignored. Malformed bytes and invalid results end the connection, as
nothing after them can be trusted.
"""

from collections.abc import Sequence
from typing import NamedTuple, NoReturn, cast

from rackhub import logs
from rackhub.core.coordinator import Coordinator
from rackhub.core.request import Attempt
from rackhub.core.timers import Clock
from rackhub.counters import Counters
from rackhub.limits import Limits
from rackhub.net.failed_ids import FailedIds
from rackhub.net.outgoing import SocketWriter
from rackhub.net.pool import EnginePool
from rackhub.net.resp_protocol import (
    PROGRESS_TOPICS,
    InvalidFrameError,
    encode_command,
    is_valid_page,
    parse_fields,
    parse_load_report,
    parse_number,
)
from rackhub.net.resp_reader import RespReader

log = logs.logger(__name__)

ANSWER_KINDS = (b"200", b"503", b"500", b"504", b"status", b"chunk", b"alive")


class PartialResult:
    """A result with missing pages: its pages by number, and the load report of page 0."""

    __slots__ = ("pages", "missing", "size", "report")

    def __init__(self, first: bytes, count: int, report: dict[str, float]):
        """`first` is page 0 of `count` pages."""
        self.pages: list[bytes | None] = [first, *[None] * (count - 1)]
        self.missing = count - 1
        self.size = len(first)
        self.report = report


class ByteRange(NamedTuple):
    """The position of a request in the bytes sent on its connection."""

    begin: int  # offset of its first byte
    end: int  # offset behind its last byte


class AnswerReader(RespReader):
    """Handles the answers to the attempts that are open on a connection."""

    _out: SocketWriter  # set when the connection is established

    def __init__(
        self,
        pool: EnginePool,
        clock: Clock,
        limits: Limits,
        counters: Counters,
        core: Coordinator,
        failed_ids: FailedIds | None = None,
    ):
        """`failed_ids` is shared by the connections to all engines; by default the connection has its own."""
        super().__init__(clock, limits)
        self.pool = pool
        self.counters = counters
        self.core = core
        self.open: dict[bytes, Attempt] = {}  # the open attempts by request id
        self.partial_results: dict[bytes, PartialResult] = {}  # the incomplete results by request id
        self._sent_ranges: dict[bytes, ByteRange] = {}  # the sent attempts in `open` by request id
        self.failed_ids = FailedIds(clock, limits) if failed_ids is None else failed_ids
        self._number = self.failed_ids.new_connection()
        self.up = False  # True while the connection is established

    def give_up(self, attempt: Attempt) -> None:
        """Cancel an attempt."""
        raise NotImplementedError

    def _attempt_removed(self) -> None:
        """Close the connection if no attempt is open on it and it is unresponsive or retired."""
        raise NotImplementedError

    def surely_not_executed(self, id: bytes) -> bool:
        """Return whether an open attempt surely was not executed, as its request has not been sent completely.

        A completely sent request may have been executed, whatever happened to the connection since. Its answer can't be
        waiting unread, as a transport is read before it is written.
        """
        return id not in self._sent_ranges or not self._out.has_sent(self._sent_ranges[id].end)

    def _attempt_failed(self, id: bytes, attempt: Attempt) -> None:
        """Remember a failed attempt: a duplicate of this answer could be mistaken for that of a retry."""
        attempt.query.failed_connections += (self,)
        self.failed_ids.add(self._number, id)

    def has_failed(self, id: bytes, attempt: Attempt) -> bool:
        """Return whether an attempt of the same request, or of an ended one with the same id, has failed here."""
        return self in attempt.query.failed_connections or self.failed_ids.contains(self._number, id)

    def drop(self) -> None:
        """Reset the connection if it is up; its open attempts are lost."""
        if self.up:
            self.transport.abortConnection()

    def malformed(self, error: InvalidFrameError) -> None:
        """Drop the connection after malformed bytes or an invalid result."""
        self.counters.add("engine_bad_frames")
        log.warning("engine_connection_dropped", engine=self.pool.name, reason=str(error), open=len(self.open))
        self.closed = True
        self.clearLineBuffer()  # type: ignore[no-untyped-call]
        self.drop()

    def frame_received(self, strings: list[bytes]) -> None:
        """Handle one answer. Raises `InvalidFrameError`."""
        self._frames += 1
        self.counters.add("engine_frames")
        if len(strings) != 4:
            self._check_alive(strings)
            return
        id, kind, text, body = strings
        if kind not in ANSWER_KINDS:
            raise InvalidFrameError(f"an answer of the unknown kind {kind[:40]!r}")
        fields = parse_fields(text)
        attempt = self.open.get(id) if id in self._sent_ranges else None
        if attempt is None:  # The attempt was not sent, or its cancellation crossed this answer.
            self.counters.add("engine_strays")
        elif kind == b"200":
            self._result(id, attempt, fields, body)
        elif kind == b"chunk":
            self._page(id, attempt, fields, body)
        elif kind == b"status":
            self._progress(attempt, fields)
        elif kind == b"503" and id not in self.partial_results:
            self._complete(id, attempt, "FULL", parse_load_report(fields))
        elif kind == b"504" and id not in self.partial_results:  # expired before execution: no time is left for a retry
            self._complete(id, attempt, "NOP", parse_load_report(fields))
        elif kind != b"alive":  # an error, or a page that is no longer available
            self._complete(id, attempt, "BAD", parse_load_report(fields))

    def _check_alive(self, strings: list[bytes]) -> None:
        """Accept the answer to a health check, of two strings, which is valid although none is sent here."""
        if len(strings) != 2 or strings[1] != b"alive":
            raise InvalidFrameError(f"an answer of {len(strings)} strings: 4, or 2 with alive, are allowed")

    def _progress(self, attempt: Attempt, fields: dict[bytes, bytes]) -> None:
        topic = PROGRESS_TOPICS.get(fields.get(b"remark", b""))
        if topic:
            self.core.report_progress(attempt, topic, parse_number(fields, b"amount", float))

    def _result(self, id: bytes, attempt: Attempt, fields: dict[bytes, bytes], body: bytes) -> None:
        """Handle page 0 of a result: complete the attempt, or fetch the other pages."""
        if id in self.partial_results:  # a duplicate
            self.counters.add("engine_extras")
            return
        count = int(parse_number(fields, b"chunks", int))
        if count < 1:
            raise InvalidFrameError(f"a result of {count} pages, at least 1 expected")
        if not is_valid_page(body, self.limits.max_page_bytes):
            self._corrupt(id, attempt)
        report = parse_load_report(fields)
        if count == 1:
            self._complete(id, attempt, "GOOD", report, (body,))
            return
        self.partial_results[id] = PartialResult(body, min(count, self.limits.max_result_pages), report)
        if count > self.limits.max_result_pages:
            self._too_large(attempt)
            return
        pieces = []
        for page in range(1, count):
            pieces += encode_command(b"turn", id, b"%d" % page)
        self._out.write(pieces)

    def _page(self, id: bytes, attempt: Attempt, fields: dict[bytes, bytes], body: bytes) -> None:
        """Handle a further page, and complete the attempt with the last one."""
        partial = self.partial_results.get(id)
        number = int(parse_number(fields, b"at", int))
        if partial is None or not 0 < number < len(partial.pages) or partial.pages[number] is not None:
            self.counters.add("engine_extras")  # a duplicate, or a page that was not fetched
            return
        if not is_valid_page(body, self.limits.max_page_bytes):
            self._corrupt(id, attempt)
        self.counters.add("pages_in")
        partial.pages[number] = body
        partial.missing -= 1
        partial.size += len(body)
        if partial.size > self.limits.max_result_size:
            self._too_large(attempt)
        elif not partial.missing:
            self._complete(id, attempt, "GOOD", partial.report, cast("tuple[bytes, ...]", tuple(partial.pages)))

    def _corrupt(self, id: bytes, attempt: Attempt) -> NoReturn:
        """End the attempt as executed and drop the connection, as the page is invalid."""
        self.counters.add("engine_spoilt")
        self._complete(id, attempt, "BAD", {})
        raise InvalidFrameError(
            f"a page that is not complete rows of three columns, or exceeds {self.limits.max_page_bytes} bytes"
        )

    def _too_large(self, attempt: Attempt) -> None:
        """Cancel an attempt whose result exceeds the limits that bound memory. It counts as executed and failed."""
        log.warning("result_too_large", engine=self.pool.name, request=attempt.query.id)
        self.give_up(attempt)
        self.core.complete_attempt(attempt, "BAD")

    def _complete(
        self, id: bytes, attempt: Attempt, reason: str, report: dict[str, float], rows: Sequence[bytes] = ()
    ) -> None:
        del self.open[id]
        del self._sent_ranges[id]
        self.partial_results.pop(id, None)
        if reason != "GOOD":
            self._attempt_failed(id, attempt)
        self._attempt_removed()
        self.core.complete_attempt(attempt, reason, report, rows)

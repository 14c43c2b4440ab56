"""The answers of an engine over RESP: results in pages, progress, overload and errors.

What comes twice or under an id that is not open is ignored. Bytes that can't be parsed, and an answer that is not what
the protocol says a result is, end the connection: nothing after them can be trusted.
"""

from collections.abc import Sequence
from typing import NamedTuple, NoReturn, cast

from rackhub import logs
from rackhub.core.coordinator import Coordinator
from rackhub.core.request import Attempt
from rackhub.core.timers import Clock
from rackhub.counters import Counters
from rackhub.limits import Limits
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
    """A result of which not all pages have come: its pages by number, and the load report that came with page 0."""

    __slots__ = ("pages", "missing", "size", "report")

    def __init__(self, first: bytes, count: int, report: dict[str, float]):
        """`first` is the first of `count` pages."""
        self.pages: list[bytes | None] = [first, *[None] * (count - 1)]
        self.missing = count - 1
        self.size = len(first)
        self.report = report


class ByteRange(NamedTuple):
    """The place of a request in the bytes sent on its connection: behind `begin` of them, up to `end`."""

    begin: int
    end: int


class AnswerReader(RespReader):
    """Handles the answers to the attempts that are open on a connection."""

    _out: SocketWriter  # from the time on that the connection is established

    def __init__(self, pool: EnginePool, clock: Clock, limits: Limits, counters: Counters, core: Coordinator):
        super().__init__(clock, limits)
        self.pool = pool
        self.counters = counters
        self.core = core
        self.open: dict[bytes, Attempt] = {}  # by the id of their request
        self.partial_results: dict[bytes, PartialResult] = {}
        self._sent_ranges: dict[bytes, ByteRange] = {}  # by those ids in `open` that are sent
        self.failed_ids: dict[bytes, int] = {}  # ids that ended here without success -> when; oldest first
        self.up = False

    def give_up(self, attempt: Attempt) -> None:
        """Cancel an attempt."""
        raise NotImplementedError

    def _attempt_removed(self) -> None:
        """Close the connection if nothing is open on it any more and it is of no more use."""
        raise NotImplementedError

    def surely_not_executed(self, id: bytes) -> bool:
        """Whether an open attempt surely never ran: not all of it has been sent.

        What was sent may have run, whatever happened to the connection since. What has come and is not read yet is
        handled in time: a transport is read from before it is written to.
        """
        return id not in self._sent_ranges or not self._out.has_sent(self._sent_ranges[id].end)

    def _attempt_failed(self, id: bytes) -> None:
        """Remember an id that ended without success: a retry here could be credited with a duplicate of this end."""
        self._expire_failed_ids()
        self.failed_ids.pop(id, None)
        self.failed_ids[id] = self.clock.now()

    def _expire_failed_ids(self) -> None:
        oldest_kept = self.clock.now() - self.limits.failed_id_retention
        while self.failed_ids and (oldest := next(iter(self.failed_ids))) and self.failed_ids[oldest] < oldest_kept:
            del self.failed_ids[oldest]

    def drop(self) -> None:
        """Close at once: what is open on it is lost."""
        if self.up:
            self.transport.abortConnection()

    def malformed(self, error: InvalidFrameError) -> None:
        """Drop the connection, after bytes that can't be parsed or a corrupt answer."""
        self.counters.add("engine_bad_frames")
        log.warning("engine_connection_dropped", engine=self.pool.name, reason=str(error), open=len(self.open))
        self.closed = True
        self.clearLineBuffer()  # type: ignore[no-untyped-call]
        self.drop()

    def frame_received(self, strings: list[bytes]) -> None:
        """Handle one answer; raises `InvalidFrameError`."""
        self._frames += 1
        self.counters.add("engine_frames")
        if len(strings) != 4:
            self._check_alive(strings)
            return
        id, kind, text, body = strings
        if kind not in ANSWER_KINDS:
            raise InvalidFrameError(f"an answer {kind[:40]!r}")
        fields = parse_fields(text)
        attempt = self.open.get(id) if id in self._sent_ranges else None
        if attempt is None:  # not sent, or given up: its end was on its way, and no more comes under this id
            self.counters.add("engine_strays")
        elif kind == b"200":
            self._result(id, attempt, fields, body)
        elif kind == b"chunk":
            self._page(id, attempt, fields, body)
        elif kind == b"status":
            self._progress(attempt, fields)
        elif kind == b"503" and id not in self.partial_results:
            self._complete(id, attempt, "FULL", parse_load_report(fields))
        elif kind == b"504" and id not in self.partial_results:  # expired before it was read: no time for a retry
            self._complete(id, attempt, "NOP", parse_load_report(fields))
        elif kind != b"alive":  # an error, or a page that is gone: the result can't be completed any more
            self._complete(id, attempt, "BAD", parse_load_report(fields))

    def _check_alive(self, strings: list[bytes]) -> None:
        """An answer to a health check has two strings; it is not asked for here, but no fault."""
        if len(strings) != 2 or strings[1] != b"alive":
            raise InvalidFrameError(f"an answer of {len(strings)} parts")

    def _progress(self, attempt: Attempt, fields: dict[bytes, bytes]) -> None:
        topic = PROGRESS_TOPICS.get(fields.get(b"remark", b""))
        if topic:
            self.core.report_progress(attempt, topic, parse_number(fields, b"amount", float))

    def _result(self, id: bytes, attempt: Attempt, fields: dict[bytes, bytes], body: bytes) -> None:
        """Handle the first page: complete the attempt, or fetch the other pages."""
        if id in self.partial_results:  # a duplicate: the first one counts
            self.counters.add("engine_extras")
            return
        count = int(parse_number(fields, b"chunks", int))  # which every engine sends
        if count < 1:
            raise InvalidFrameError(f"a result of {count} pages")
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
        """End the attempt, which has run, and the connection: what came is no result."""
        self.counters.add("engine_spoilt")
        self._complete(id, attempt, "BAD", {})
        raise InvalidFrameError("an answer that is no result")

    def _too_large(self, attempt: Attempt) -> None:
        """End an attempt whose result exceeds the limits: memory is bounded, so it has failed after it ran."""
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
            self._attempt_failed(id)
        self._attempt_removed()
        self.core.complete_attempt(attempt, reason, report, rows)

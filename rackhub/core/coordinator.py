"""Drives `Control`: turns requests and news into its events, and its actions into attempts and answers.

Whatever the module decides, this part keeps what must hold: one final answer for each request and in
time, never two attempts of one at once, no more of them than the site allows. It knows no wire: fronts
hand it a `Query` and get one callback, engines are reached through a port.
"""

import logging
from collections import deque
from collections.abc import Callable, Sequence
from typing import Protocol

from rackhub import interface as t
from rackhub.control import Control
from rackhub.core.timers import Clock, Timers
from rackhub.counters import Counters
from rackhub.limits import SECOND, Limits

log = logging.getLogger(__name__)


class Reply(Protocol):
    """Where a front takes its one answer. `rows` are the pages of the result, in order."""

    def served(self, query: "Query", rows: Sequence[bytes]) -> None: ...
    def refused(self, query: "Query", backoff: int) -> None: ...
    def failed(self, query: "Query", why: str) -> None: ...


class Query:
    """One request from its arrival to its answer."""

    __slots__ = ("id", "cls", "statement", "deadline", "tenant", "token", "estimate", "memory_mb", "tables",
                 "reply", "tag", "closed", "tries", "out", "level")

    def __init__(self, id: str, cls: str, statement: bytes, deadline: int, reply: Reply, *, tag: object = None,
                 tenant: str = "", token: str = "", estimate: int = 0, memory_mb: float = 0.0,
                 tables: int | None = None):
        self.id, self.cls, self.statement, self.deadline = id, cls, statement, deadline
        self.reply, self.tag, self.tenant, self.token = reply, tag, tenant, token
        self.estimate, self.memory_mb, self.tables = estimate, memory_mb, tables
        self.closed, self.tries, self.level = False, 0, 1
        self.out: Attempt | None = None


class Attempt:
    """One try of a query on an engine. `link` is the port's own: what carries the attempt."""

    __slots__ = ("query", "number", "engine", "sent", "over", "link")

    def __init__(self, query: Query, number: int, engine: str, sent: int):
        self.query, self.number, self.engine, self.sent = query, number, engine, sent
        self.over, self.link = False, None


class EnginePort(Protocol):
    """The way to the engines. It reports by `Coordinator.ended` and `.noted`."""

    def send(self, attempt: Attempt) -> None: ...
    def give_up(self, attempt: Attempt) -> None: ...
    def hurry(self, attempt: Attempt) -> None: ...
    def close_idle(self, engine: str) -> None: ...


class Coordinator:
    """The requests of one process, the module that decides on them, and the ports it acts through."""

    def __init__(self, settings: t.Settings, seed: int, clock: Clock, timers: Timers, limits: Limits,
                 counters: Counters):
        self.settings, self.clock, self.timers = settings, clock, timers
        self.limits, self.counters = limits, counters
        self.classes = {told.name: told for told in settings.classes}
        self.queries: dict[str, Query] = {}
        self.out: dict[str, Attempt] = {}  # by query, also of one that is closed: its attempt may be out still
        self.engines: EnginePort | None = None
        self.on_idle: Callable[[], None] | None = None  # called when the last request has its answer
        self._control = Control(settings, seed)
        self._events: deque[object] = deque()
        self._handling = False

    # ---- what the ports bring

    def start(self, engines: EnginePort, entries: Sequence[t.EngineEntry], rev: int) -> None:
        self.engines = engines
        self._tell(t.Started())
        self._tell(t.EngineList("Persisted", tuple(entries), rev))

    def listed(self, entries: Sequence[t.EngineEntry], rev: int) -> None:
        """The whole list of engines, as the resolver has it now."""
        self.counters.add("lists_told")
        self._tell(t.EngineList("Complete", tuple(entries), rev))

    def known(self, id: str) -> bool:
        return id in self.queries

    def out_of_time(self, query: Query) -> bool:
        """Whether an answer given now is given for want of time: the module ends a request two periods early."""
        return self.clock.now() >= query.deadline - 2 * self.settings.period

    def submit(self, query: Query) -> None:
        """Take a request on: from here it is owed exactly one answer."""
        self.counters.add("requests_in")
        if len(self.queries) >= self.limits.held_requests:  # memory is bounded: nothing ran, so say so at once
            self.counters.add("over_held")
            query.closed = True
            self.counters.add("refused")
            return query.reply.refused(query, min(SECOND, self.settings.max_retry_after or SECOND))
        self.queries[query.id] = query
        self.timers.at(query.deadline + self.limits.backstop, self._expired, query)
        self._tell(t.QueryArrived(query.id, query.cls, query.deadline, tenant=query.tenant, estimate=query.estimate,
                                  memory_mb=query.memory_mb, tables=query.tables))

    def leave(self, query: Query) -> None:
        """The client cancelled or is gone: no answer is owed, and what runs for it is stopped."""
        if not query.closed:
            self.counters.add("left")
            self._close(query)
            self._tell(t.ClientLeft(query.id))

    def ended(self, attempt: Attempt, reason: str, report: dict[str, float] | None = None,
              rows: Sequence[bytes] = ()) -> None:
        """The one end of an attempt. With GOOD `rows` are all pages: the client has them before the module knows."""
        if attempt.over:  # an end that crossed with a time-out or a cancel: the first one counts
            return
        attempt.over, query = True, attempt.query
        if query.out is attempt:
            query.out = None
            del self.out[query.id]
        self.counters.add(f"out_{reason.lower()}")
        if reason == "GOOD" and not query.closed:
            self._close(query)
            self.counters.add("served")
            query.reply.served(query, rows)
        self._tell(t.AttemptEnded(query.id, attempt.number, reason, settled=query.closed, engine=attempt.engine,
                                  elapsed=self.clock.now() - attempt.sent, report=report or {}))

    def noted(self, attempt: Attempt, topic: int, value: float) -> None:
        if not attempt.over:
            self.counters.add("notes_in")
            self._tell(t.Note(attempt.query.id, attempt.number, topic, value, attempt.engine))

    # ---- the module

    def _tell(self, event: object) -> None:
        """Events in turn: what an action leads to is told after all actions of its event are carried out."""
        self._events.append(event)
        if self._handling:
            return
        self._handling = True
        try:
            while self._events:
                self._handle(self._events.popleft())
        finally:
            self._handling = False

    def _handle(self, event: object) -> None:
        try:
            for act in self._control.handle(self.clock.now(), event):
                self._act(act)
        except Exception:  # a fault in a decision must not end the daemon: the backstop answers its request
            self.counters.add("module_errors")
            log.exception("the module failed on %r", event)

    def _act(self, act: object) -> None:
        match act:
            case t.Timer(delay, ref):
                self.timers.at(self.clock.now() + delay, self._due, ref)
            case t.Terms(id, _, priority):
                self._terms(id, priority)
            case t.Send(id, engine, timeout):
                self._send(id, engine, timeout)
            case t.Refuse(id, retry_after):
                if query := self._answerable(id):
                    self.counters.add("refused")
                    query.reply.refused(query, retry_after)
            case t.Fail(id):
                if query := self._answerable(id):
                    self.counters.add("failed")
                    query.reply.failed(query, "failed: its effect is not known")
            case t.Cancel(id, number):
                self._cancel(id, number)
            case t.CloseIdle(engine):
                self.engines.close_idle(engine)
            case t.Log(text):
                log.info("module: %s", text)
            # probes, peers and subscriptions are not allowed or not needed on this wire: nothing to do

    def _due(self, ref: int) -> None:
        self._tell(t.TimerFired(ref))

    def _answerable(self, id: str) -> Query | None:
        """The request that an answer of the module is for: closed here, so that a second one finds nothing."""
        query = self.queries.get(id)
        if query is not None:
            self._close(query)
        return query

    def _close(self, query: Query) -> None:
        query.closed = True
        self.queries.pop(query.id, None)
        if not self.queries and self.on_idle:
            self.on_idle()

    def _send(self, id: str, engine: str, timeout: int) -> None:
        query = self.queries.get(id)
        if query is None:  # nothing is sent for a request that is over: the module closed it itself
            return self.counters.add("attempts_not_sent")
        now = self.clock.now()
        attempt = Attempt(query, query.tries, engine, now)
        until = min(query.deadline, now + timeout) if timeout > 0 else query.deadline
        if query.out is not None or query.tries >= self.settings.max_attempts or timeout < 0 or until <= now:
            self.counters.add("attempts_not_sent")
            return self.ended(attempt, "NOP")
        query.tries += 1
        query.out = self.out[id] = attempt
        self.counters.add("attempts")
        self.timers.at(until, self._late, attempt)
        self.engines.send(attempt)

    def _terms(self, id: str, priority: int) -> None:
        """The priority holds for further sends, and at once for an attempt that is out."""
        query = self.queries.get(id)
        if query is not None and query.level != priority:
            query.level = priority
            if query.out is not None:
                self.counters.add("hurries")
                self.engines.hurry(query.out)

    def _cancel(self, id: str, number: int) -> None:
        attempt = self.out.get(id)
        if attempt is not None and attempt.number == number:
            self._give_up(attempt, "CXL")

    def _late(self, attempt: Attempt) -> None:
        if not attempt.over:
            self._give_up(attempt, "LATE")

    def _give_up(self, attempt: Attempt, reason: str) -> None:
        self.engines.give_up(attempt)
        self.ended(attempt, reason)

    def _expired(self, query: Query) -> None:
        """The backstop: the module has let a deadline pass, so the answer is given without it."""
        if not query.closed:
            self.counters.add("backstop_answers")
            self._close(query)
            self.counters.add("failed")
            query.reply.failed(query, "deadline passed")
            self._tell(t.ClientLeft(query.id))

"""Drives `Router`: turns requests and news into its events, and its actions into attempts and answers.

Whatever the module decides, this part keeps what must hold: one final answer for each request and in
time, never two attempts of one at once, no more of them than the site allows. It knows no wire: fronts
hand it a `Query` and get one callback, engines are reached through a port.
"""

from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import replace
from typing import TYPE_CHECKING

from rackhub import interface, logs
from rackhub.core.lease import EndpointLease, Standing
from rackhub.core.request import Attempt, AttemptState, EnginePort, Query
from rackhub.core.timers import Clock, Timers
from rackhub.counters import Counters
from rackhub.limits import SECOND, Limits
from rackhub.policy.retries import NOT_EXECUTED_OUTCOMES
from rackhub.policy.router import Router

if TYPE_CHECKING:  # ports of parts that may be off: nothing of them is loaded here
    from rackhub.core.fleet import FleetCoordinator
    from rackhub.core.gather import GatherPort
    from rackhub.core.request_journal import RequestJournal
    from rackhub.core.request_policy import RequestPolicy

log = logs.logger(__name__)

OK, SHED, ERRORS, TRIES = range(4)
ANSWERED = ("GOOD", "BAD")  # ends by an engine that took the request
REPLY_METHODS = {"served": "served", "refused": "rejected", "failed": "failed"}
TALLY = {"served": OK, "refused": SHED, "failed": ERRORS}  # how a request ended: what counts it by class


class Coordinator:
    """The requests of one process, the module that decides on them, and the ports it acts through."""

    def __init__(
        self, settings: interface.Settings, seed: int, clock: Clock, timers: Timers, limits: Limits, counters: Counters
    ):
        self.settings, self.clock, self.timers = settings, clock, timers
        self.limits, self.counters = limits, counters
        self.classes = {told.name: told for told in settings.classes}
        self.tenants = {told.name for told in settings.tenants} or {""}
        self.queries: dict[str, Query] = {}
        self._recent: dict[str, None] = {}  # ids of requests answered lately, oldest first
        self.in_flight: dict[tuple[str, int], Attempt] = {}  # by query and number, also of one that is closed
        self.engines: EnginePort | None = None
        self.lease: EndpointLease | None = None  # on the list of engines; none: it is always in force
        self._unconfirmed: list[Attempt] = []  # held until the list is confirmed, or until nothing answers
        self._barred: frozenset[str] = frozenset()  # engines for which the lease is over
        self._said = interface.FleetAllocation()  # by the gateways of the fleet, less what is barred here
        self.request_journal: RequestJournal | None = None  # of keyed requests; the others never get there
        self.request_policy: RequestPolicy | None = None  # the operator's terms, by route
        self.gather_port: GatherPort | None = None  # what is sent to several sites and answered once
        self.fleet_coordinator: FleetCoordinator | None = (
            None  # what the gateways of the fleet agree on, where they may speak to one another
        )
        self._kinds: dict[str, str] = {}  # of engines, as the list has them
        self.on_idle: Callable[[], None] | None = None  # called when the last request has its answer
        self._control = Router(settings, seed)
        self._events: deque[object] = deque()
        self._does = {
            interface.Timer: self._timer,
            interface.Send: self._send,
            interface.ExecutionHints: self._terms,
            interface.Cancel: self._cancel,
            interface.Reject: self._refuse,
            interface.Fail: self._fail,
            interface.CloseIdleConnections: self._close_idle,
            interface.Log: self._log,
            interface.CheckHealth: self._probe,
            interface.SendGossip: self._tell_peer,
        }
        self._handling, self._behind, self._sweep_due = False, False, clock.now()
        self._held = 0  # bytes of the statements of all open requests
        self._lag = 0  # how late the loop lately was at worst; it fades
        self.accepting = (
            True  # the one place that says whether this process takes new work: from SIGTERM on it does not
        )
        self._away = 0  # the back-off of who comes after that
        self.counts_by_class: dict[str, list[int]] = {name: [0, 0, 0, 0] for name in self.classes}  # see `TALLY`

    # ---- what the ports bring

    def start(self, engines: EnginePort, entries: Sequence[interface.EngineEntry], rev: int) -> None:
        self.engines = engines
        self._kinds = {entry.engine: entry.kind for entry in entries}
        self._tell(interface.Started())
        self._tell(interface.EndpointList("Persisted", tuple(entries), rev))
        self._sweep()

    def update_endpoints(self, entries: Sequence[interface.EngineEntry], rev: int) -> None:
        """The whole list of engines, as the resolver has it now."""
        self.counters.add("lists_told")
        self._kinds = {entry.engine: entry.kind for entry in entries}
        self._tell(interface.EndpointList("Complete", tuple(entries), rev))

    def is_known_id(self, id: str) -> bool:
        """Whether a request of this id is open, or was answered or withdrawn lately. Ids are new with each request,
        also with a client's retry; one that comes again is none of a client that keeps to the protocol."""
        return id in self.queries or id in self._recent

    def is_near_deadline(self, query: Query) -> bool:
        """Whether an answer given now is given for want of time: the module ends a request two periods early."""
        return self.clock.now() >= query.deadline - 2 * self.settings.period

    def submit(self, query: Query) -> None:
        """Take a request on: from here it is owed exactly one answer."""
        self.counters.add("requests_in")
        full = (
            len(self.queries) >= self.limits.held_requests or self._held + len(query.statement) > self.limits.held_bytes
        )
        if not self.accepting and not query.is_subrequest:  # a part is of a request that was taken before
            return self._turn_back(query, "refused_ending", self._away)
        if self._standing() is Standing.EXPIRED and not query.is_subrequest:
            return self._turn_back(query, "over_lease", min(SECOND, self.settings.max_retry_after or SECOND))
        if full or self._behind:  # memory and the one core are bounded: nothing ran, so say so at once
            return self._turn_back(
                query, "over_held" if full else "over_behind", min(SECOND, self.settings.max_retry_after or SECOND)
            )
        self.queries[query.id] = query
        log.debug("request_taken", request=query.id, cls=query.cls, left_us=query.deadline - self.clock.now())
        self._held += len(query.statement)
        if self.request_journal is not None and query.idempotency_key:
            self.request_journal.request_admitted(query)
        # An answer given at the deadline is on the wire some turns of the loop later, and what came in had waited for
        # one: on a scored day one answer in 14 was late by that. So the module is told to be done sooner.
        if not query.is_subrequest:  # its whole has paid for it
            query.deadline -= min(self._margin(), (query.deadline - self.clock.now()) // 4)
        if self.gather_port is not None and not query.is_subrequest:
            query.is_gathered = True  # if so the module hears of its parts alone, each a request of its own
            if self.gather_port.accept(query):
                return
            query.is_gathered = False
        attempts = within = 0
        if self.request_policy is not None:
            query.terms = self.request_policy.begin_request(query.cls, query.tenant, query.estimate, self.clock.now())
            attempts, within = query.terms.max_attempts, query.terms.retry_window
        standing = (
            self.fleet_coordinator.request_received(query, self.clock.now())
            if self.fleet_coordinator is not None
            else 0
        )
        self._tell(
            interface.QueryReceived(
                query.id,
                query.cls,
                query.deadline,
                tenant=query.tenant,
                estimate=query.estimate,
                memory_mb=query.memory_mb,
                tables=query.tables,
                max_attempts=attempts,
                retry_window=within,
                admission=standing,
                zones=query.zones,
            )
        )

    def _turn_back(self, query: Query, why: str, backoff: int) -> None:
        """Refuse a request that was never taken on, at once, counted under `why`."""
        self.counters.add(why)
        log.debug("request_turned_back", request=query.id, reason=why)
        self._end(query, "refused", backoff)

    def start_draining(self, away: int) -> None:
        """SIGTERM came: what was taken is answered as before, every request read from now on is refused at once and
        never sent on, with the back-off `away` in microseconds."""
        self.accepting, self._away = False, away

    def _margin(self) -> int:
        """How much earlier than the client's own deadline an answer is due here: more as the loop lags."""
        return self.limits.margin + 2 * self._lag

    def disconnect_client(self, query: Query) -> None:
        """The client cancelled or is gone: no answer is owed, and what runs for it is stopped."""
        if self._end(query, "left"):
            self._call_off(query)

    def _call_off(self, query: Query) -> None:
        """It is over without the word of whoever decides on it."""
        if not query.is_gathered:
            self._tell(interface.ClientDisconnected(query.id))
        elif self.gather_port is not None:
            self.gather_port.client_disconnected(query)

    def complete_gathered(self, query: Query, how: str, rows: Sequence[bytes] = (), backoff: int = 0) -> bool:
        """The answer of a request that `gathers` took: served with `rows` (and `query.mark`), refused with `backoff` in
        microseconds, or failed. False: it has had its answer, or its client is gone."""
        return self._end(
            query,
            how,
            {
                "served": rows,
                "refused": min(backoff, self.settings.max_retry_after or backoff),
                "failed": "failed: too few of its sites have answered",
            }[how],
        )

    def complete_attempt(
        self, attempt: Attempt, reason: str, report: dict[str, float] | None = None, rows: Sequence[bytes] = ()
    ) -> None:
        """What the port tells of an attempt's end. With GOOD `rows` are all pages."""
        if not attempt.done:  # an end that crossed with a time-out or a cancel: the first one counts
            self._over(attempt, reason, report, rows)

    def _over(
        self, attempt: Attempt, reason: str, report: dict[str, float] | None = None, rows: Sequence[bytes] = ()
    ) -> None:
        """The one end of an attempt. Its client has the answer before the module knows."""
        attempt.state, query, now = AttemptState.DONE, attempt.query, self.clock.now()
        query.in_flight.pop(attempt.number, None)
        if sent := self.in_flight.get((query.id, attempt.number)) is attempt:
            del self.in_flight[query.id, attempt.number]
        if reason in NOT_EXECUTED_OUTCOMES:
            query.possibly_executed.pop(attempt.number, None)
        if self.lease is not None and reason == "FULL":
            self.lease.engine_rejected(attempt.engine, now)
        elif self.lease is not None and reason in ANSWERED:
            self.lease.engine_accepted(attempt.engine, attempt.sent_at)
        self.counters.add(f"out_{reason.lower()}")
        log.debug(
            "attempt_ended",
            request=query.id,
            attempt=attempt.number,
            engine=attempt.engine,
            reason=reason,
            after_us=now - attempt.sent_at,
        )
        if reason == "GOOD":
            self._end(query, "served", rows)
        again, wait, backoff = True, 0, 0
        if self.fleet_coordinator is not None and sent:
            self.fleet_coordinator.attempt_completed(attempt, reason, now)
        if query.terms is not None and self.request_policy is not None and reason != "NOP":
            cut = reason == "LATE" and attempt.timeout_configured
            self.request_policy.attempt_completed(
                query.terms,
                attempt.number,
                self._kinds.get(attempt.engine, ""),
                attempt.engine,
                reason,
                now - attempt.sent_at,
                cut,
                now,
            )
            if not query.closed and not query.in_flight:
                again, wait, backoff = self.request_policy.retry_decision(query.terms, reason, query.attempts, now)
        self._tell(
            interface.AttemptCompleted(
                query.id,
                attempt.number,
                reason,
                settled=query.closed,
                engine=attempt.engine,
                elapsed=now - attempt.sent_at,
                report=report or {},
                may_retry=again,
                retry_delay=wait,
                backoff=backoff,
            )
        )

    def report_progress(self, attempt: Attempt, topic: int, value: float) -> None:
        if not attempt.done:
            self.counters.add("notes_in")
            if self.lease is not None:
                self.lease.engine_accepted(attempt.engine, attempt.sent_at)
            self._tell(interface.ProgressReport(attempt.query.id, attempt.number, topic, value, attempt.engine))

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
                if does := self._does.get(type(act)):
                    does(act)
        except Exception:  # a fault in a decision must not end the daemon: the backstop answers its request
            self.counters.add("module_errors")
            log.exception("module_failed", on=repr(event))

    # subscriptions are not needed on this wire, so nothing is done for them

    def complete_health_check(
        self, engine: str, reason: str, elapsed: int, report: dict[str, float] | None = None
    ) -> None:
        """The end of a probe that the guide sent. `reason`: GOOD, LATE or NOCONN; `elapsed` in microseconds."""
        self._tell(interface.HealthCheckCompleted(engine, reason, elapsed, report or {}))

    def receive_gossip(self, peer: int, contents: bytes) -> None:
        """The word of another gateway's module."""
        self._tell(interface.GossipReceived(peer, contents))

    def apply_allocation(self, said: interface.FleetAllocation) -> None:
        """What the gateways of the fleet agree on, as far as this one knows; it holds until the next."""
        self._said = said
        self._tell(replace(said, reserved_engines=said.reserved_engines | self._barred))

    def _bar(self, now: int) -> None:
        """Tell the module of the engines that may not be sent to, as the list is not in force for them."""
        barred = self.lease.ineligible(self._kinds, now) if self.lease is not None else frozenset()
        if barred != self._barred:
            log.info("engines_barred", engines=sorted(barred), reason="the list of engines is not confirmed")
            self._barred = barred
            self.apply_allocation(self._said)

    def _probe(self, act: interface.CheckHealth) -> None:
        if self.fleet_coordinator is not None:  # without a guide there are no peers, and this wire has no probes
            self.fleet_coordinator.check_health(act.engine)

    def _tell_peer(self, act: interface.SendGossip) -> None:
        if self.fleet_coordinator is not None:
            self.fleet_coordinator.send_gossip(act.peer, act.contents)

    def _timer(self, act: interface.Timer) -> None:
        self.timers.at(self.clock.now() + act.delay, self._due, act.ref)

    def _refuse(self, act: interface.Reject) -> None:
        if query := self.queries.get(act.query):
            log.debug("request_refused", request=query.id, reason=act.reason, retry_after_us=act.retry_after)
            self._end(query, "refused", act.retry_after)

    def _fail(self, act: interface.Fail) -> None:
        if query := self.queries.get(act.query):
            log.debug("request_failed", request=query.id, reason=act.reason)
            self._end(query, "failed", "failed: its effect is not known")

    def _close_idle(self, act: interface.CloseIdleConnections) -> None:
        self.engines.close_idle(act.engine)

    def _log(self, act: interface.Log) -> None:
        log.info("module_said", text=act.text)

    def _due(self, ref: int) -> None:
        self._tell(interface.TimerFired(ref))

    def _tally(self, cls: str, what: int) -> None:
        counts = self.counts_by_class.get(cls)
        if counts is None:
            counts = self.counts_by_class[cls] = [0, 0, 0, 0]
        counts[what] += 1

    def _end(self, query: Query, how: str, *said: object) -> bool:
        """The one end of a request: `how` (served, refused, failed or left) is counted, what has not left for it never
        will, and its client is told what was `said`. False: it was over before."""
        if query.closed:
            return False
        query.closed = True
        self._recent[query.id] = None  # its id is not new any more: hundreds came under one, each withdrawn at once
        if len(self._recent) > self.limits.recent_ids:
            del self._recent[next(iter(self._recent))]
        self.counters.add(how)
        log.debug("request_ended", request=query.id, how=how, attempts=query.attempts)
        if (what := TALLY.get(how)) is not None:
            self._tally(query.cls, what)
        if self.queries.get(query.id) is query:  # else it was turned back, and nobody knows of it
            self._forget(query, how)
        if how != "left":
            getattr(query.reply, REPLY_METHODS[how])(query, *said)
        for attempt in [attempt for attempt in query.in_flight.values() if attempt.unsent]:
            self._give_up(attempt, "NOP")
        if not self.queries and self.on_idle:
            self.on_idle()
        return True

    def _forget(self, query: Query, how: str) -> None:
        del self.queries[query.id]
        self._held -= len(query.statement)
        if self.request_journal is not None and query.idempotency_key:
            self.request_journal.request_completed(query, how)
        if query.terms is not None and self.request_policy is not None:
            self.request_policy.end_request(query.terms, self.clock.now())
        if self.fleet_coordinator is not None and not query.is_gathered:
            self.fleet_coordinator.request_completed(query, how, self.clock.now())

    def _send(self, act: interface.Send) -> None:
        query, timeout = self.queries.get(act.query), act.timeout
        if query is None:  # nothing is sent for a request that is over: the module closed it itself
            return self.counters.add("attempts_not_sent")
        now = self.clock.now()
        attempt = Attempt(query, query.attempts, act.engine, now)
        until = min(query.deadline, now + timeout) if timeout > 0 else query.deadline
        beside = bool(query.in_flight) and (not self.settings.hedging or len(query.in_flight) > 1)
        if beside or query.attempts >= self.settings.max_attempts or timeout < 0 or until <= now:
            self.counters.add("attempts_not_sent")
            return self._over(attempt, "NOP")
        copy_after = 0
        if query.terms is not None and self.request_policy is not None:
            kind, copy = self._kinds.get(act.engine, ""), bool(query.in_flight) and query.hedge_requested
            if query.attempts and not self.request_policy.may_send(query.terms, query.attempts, copy, now):
                self.counters.add("attempts_not_sent")
                return self._over(attempt, "NOP")
            sending = self.request_policy.attempt_terms(query.terms, attempt.number, kind, copy, now)
            attempt.send_by, copy_after = sending.send_by, sending.hedge_after
            if sending.timeout and now + sending.timeout < until:
                until, attempt.timeout_configured = now + sending.timeout, True
            if sending.priority is not None:
                query.priority, query.priority_pinned = sending.priority, True
        told = self.classes.get(query.cls)
        if told is not None and told.idempotency == "dedup":  # where the attempt waits for a dial, that counts as well
            if query.possibly_executed:
                edge = (
                    min(query.possibly_executed.values())
                    + told.idempotency_window
                    - max(told.idempotency_window // 20, self.limits.handover)
                )
                attempt.send_by = min(attempt.send_by or edge, edge)
            query.possibly_executed[attempt.number] = now
        query.attempts += 1
        query.in_flight[attempt.number] = self.in_flight[query.id, attempt.number] = attempt
        attempt.deadline = until
        self.counters.add("attempts")
        log.debug("attempt_chosen", request=query.id, attempt=attempt.number, engine=attempt.engine)
        self._tally(query.cls, TRIES)
        if self.request_journal is not None and query.idempotency_key:
            self.request_journal.attempt_sent(attempt)
        if self.fleet_coordinator is not None:
            self.fleet_coordinator.attempt_sent(attempt, now)
        if copy_after and now + copy_after < until:
            self.timers.at(now + copy_after, self._copy_due, attempt)
        self.timers.call_after_reads(-1 if query.reply.stale else self.limits.unread_turn, self._begin, attempt)

    def _begin(self, attempt: Attempt) -> None:
        """The attempt goes to the port, unless it was called off while it was held."""
        if attempt.state is not AttemptState.PENDING:
            return
        attempt.sent_at = self.clock.now()
        if self._standing() is Standing.UNCONFIRMED:
            log.debug("attempt_held", request=attempt.query.id, reason="the list of engines is not confirmed")
            return self._unconfirmed.append(attempt)
        if why := attempt.send_blocked_by(attempt.sent_at, self.lease):
            self.counters.add("attempts_not_sent")
            return self._over(attempt, why)
        attempt.state = AttemptState.IN_FLIGHT
        self.engines.send(attempt)

    def _standing(self) -> Standing:
        return self.lease.standing(self.clock.now()) if self.lease is not None else Standing.CONFIRMED

    def endpoint_poll_started(self) -> int:
        """The resolver is asked; the time of that."""
        now = self.clock.now()
        if self.lease is not None:
            self.lease.poll_started(now)
        return now

    def endpoint_poll_confirmed(self, asked_at: int) -> None:
        """The list of engines in force is that of the resolver, as of when it was asked."""
        if self.lease is not None:
            self.lease.poll_confirmed(asked_at)
            self._bar(self.clock.now())
        self._release()

    def _release(self) -> None:
        """What was held until the list of engines can be relied on goes on."""
        held, self._unconfirmed = self._unconfirmed, []
        for attempt in held:
            self._begin(attempt)

    def _copy_due(self, attempt: Attempt) -> None:
        """By the operator's terms a second copy may go out beside this attempt. Which engine gets it, and whether this
        is the time for it, the module says."""
        query = attempt.query
        if (
            attempt.done
            or query.closed
            or len(query.in_flight) != 1
            or query.terms is None
            or self.request_policy is None
        ):
            return
        if self.request_policy.may_hedge(
            query.terms, self._kinds.get(attempt.engine, ""), query.attempts, self.clock.now()
        ):
            query.hedge_requested = True
            self._tell(interface.HedgeDue(query.id))
            query.hedge_requested = False

    def _terms(self, act: interface.ExecutionHints) -> None:
        """The priority holds for further sends, and at once for an attempt that is out."""
        query = self.queries.get(act.query)
        if query is not None and query.priority != act.priority and not query.priority_pinned:
            query.priority = act.priority
            for attempt in query.in_flight.values():
                self.counters.add("hurries")
                self.engines.promote(attempt)

    def _cancel(self, act: interface.Cancel) -> None:
        attempt = self.in_flight.get((act.query, act.attempt))
        if attempt is not None:
            self._give_up(attempt, "CXL")

    def _give_up(self, attempt: Attempt, reason: str) -> None:
        """Stop waiting for an attempt. One of which nothing has left ends at once, as one that surely never ran. The
        outcome of any other is told a little later, as the give-up has a way to go: a further attempt that overtook it
        on another connection would be a second one out at the same time. What is written leaves in the next turn of
        the loop, which may be a long one: so the time runs from the turn after."""
        if attempt.done:  # it is on its way out already: a second hand-over would end it twice
            return
        unsent, attempt.state = attempt.unsent, AttemptState.CANCELLING
        log.debug(
            "attempt_given_up",
            request=attempt.query.id,
            attempt=attempt.number,
            engine=attempt.engine,
            reason=reason,
            unsent=unsent,
        )
        self.engines.give_up(attempt)
        if unsent:
            return self._over(attempt, "NOP" if attempt.query.closed else "NOCONN")
        self.timers.at(self.clock.now(), self._left, attempt, reason)

    def _left(self, attempt: Attempt, reason: str) -> None:
        self.timers.at(self.clock.now() + self.limits.handover, self._over, attempt, reason)

    def _sweep(self) -> None:
        """Time-outs, and the backstop for requests whose deadline the module has let pass.

        A timer for each of them would outlive its request by the most of its deadline, with all that it holds;
        what is open is few. The walk is over what is there now, as answers change it.
        """
        now = self.clock.now()
        # Behind its time by so much, the loop takes requests in more slowly than they come, and each turn takes
        # longer than the one before: on a scored day answers came 10 s late. What comes in the next turn is refused
        # for the price of reading it, so that the turn after is on time again.
        late = now - self._sweep_due
        self._behind = late > self.limits.behind
        self._lag = max(late, self._lag - self._lag // 256)
        if self._behind:
            log.debug("loop_late", late_us=late)
        for attempt in [a for a in self.in_flight.values() if a.deadline <= now and not a.done]:
            self._give_up(attempt, "LATE")
        self._bar(now)
        if self._unconfirmed and self._standing() is not Standing.UNCONFIRMED:
            self._release()
        # by the time the sweep was due at: run late, it comes before the module's own timers of the time since
        edge = min(now, self._sweep_due) - self.limits.backstop
        for query in [query for query in self.queries.values() if query.deadline <= edge]:
            log.debug("request_failed", request=query.id, reason="backstop: deadline passed")
            if self._end(query, "failed", "deadline passed"):
                self.counters.add("backstop_answers")
                self._call_off(query)
        self._sweep_due = now + self.limits.sweep
        self.timers.at(self._sweep_due, self._sweep)

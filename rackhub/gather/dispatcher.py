"""Gathered requests of one coordinator: a state machine for each, and its local and remote subrequests.

Implements `core.gather.GatherPort`. All decisions are made in `state`; this module carries out its effects.
"""

import random
from collections import Counter
from collections.abc import Callable, Mapping, Sequence
from typing import Any, NamedTuple, Protocol

from rackhub.core.coordinator import Coordinator
from rackhub.core.gather import MissingReason
from rackhub.core.request import Query, Reply
from rackhub.core.source import Address, EndpointSnapshot
from rackhub.core.timers import Timer
from rackhub.fleet.ports import OverloadStatus
from rackhub.gather import hop_count
from rackhub.gather.latency import SiteLatencies
from rackhub.gather.remote_gateways import RemoteGateways
from rackhub.gather.result_cache import ResultCache
from rackhub.gather.rules import GatherRules, Rule, Site
from rackhub.gather.state import Answer, CancelSubrequest, Effect, Gather, Rows, SendSubrequest, StartTimer

MS = 1_000  # microseconds
MEBIBYTE = 1_048_576
JOIN_TIME_US = 20 * MS  # reserved before the client's deadline for joining and writing the rows
DEFAULT_BACKOFF_US = 200 * MS  # the backoff of a refusal if no site gave one


class Call(Protocol):
    """A subrequest in flight."""

    def cancel(self) -> None:
        """Cancel the subrequest, as its result is no longer needed."""


class LocalCall(Reply):
    """A subrequest to engines of this coordinator: the reply of a request that is submitted to the core."""

    __slots__ = ("dispatcher", "request", "site", "attempt", "query", "done")
    marks = False

    def __init__(self, dispatcher: "GatherDispatcher", request: "GatheredRequest", site: str, attempt: int):
        self.dispatcher = dispatcher
        self.request = request
        self.site = site
        self.attempt = attempt
        self.done = False
        self.query: Query | None = None

    @property
    def reading_paused(self) -> bool:  # type: ignore[override]
        """Whether reading from the client of the gathered request is paused, so its disconnect can't be seen."""
        return self.request.query.reply.reading_paused

    @property
    def may_have_unread_input(self) -> bool:  # type: ignore[override]
        """Whether bytes of the gathered request's client may still be unread in the socket."""
        return self.request.query.reply.may_have_unread_input

    def cancel(self) -> None:
        """Cancel the core's request by disconnecting its client."""
        if not self.done and self.query is not None:
            self.done = True
            self.dispatcher.core.disconnect_client(self.query)

    def served(self, query: Query, rows: Sequence[bytes]) -> None:
        """The subrequest succeeded."""
        if not self.done:
            self.done = True
            self.dispatcher.complete_with_rows(self.request, self.site, self.attempt, rows)

    def rejected(self, query: Query, backoff: int) -> None:
        """The subrequest was rejected, with a backoff in microseconds."""
        self._complete_without_rows("refused", backoff)

    def failed(self, query: Query, why: str) -> None:
        """The subrequest failed."""
        self._complete_without_rows("failed", 0)

    def _complete_without_rows(self, reason: MissingReason, backoff: int) -> None:
        if self.done:
            return
        self.done = True
        late = self.query is not None and self.dispatcher.core.is_near_deadline(self.query)
        if late:
            reason = "late"
        self.dispatcher.complete_without_rows(self.request, self.site, self.attempt, reason, backoff, False)


class GatheredRequest:
    """One open gathered request, with the rule and sites that were active when it began.

    `calls` and `sent_at` are by site and attempt. `timers` are those started for the state machine.
    """

    __slots__ = ("query", "rule", "sites", "state", "hops", "calls", "sent_at", "attempted_addresses", "timers")

    def __init__(self, query: Query, rule: Rule, sites: Mapping[str, Site], hops: int):
        self.query = query
        self.rule = rule
        self.sites = sites
        self.hops = hops
        self.state: Gather
        self.calls: dict[tuple[str, int], Call] = {}
        self.sent_at: dict[tuple[str, int], int] = {}
        self.attempted_addresses: dict[str, set[Address]] = {}
        self.timers: list[Timer] = []


class ActiveRules(NamedTuple):
    """The active rules and their version; 0: those of the operator's file."""

    rules: GatherRules
    version: int


class GatherDispatcher:
    """Carries out the effects of all gathered requests.

    `gateways_unreachable(site)` returns whether all coordinators of another installation are unreachable by the fleet's
    membership. `level` is the fleet's overload level, None without a fleet.
    """

    def __init__(
        self,
        core: Coordinator,
        rules: GatherRules,
        remotes: RemoteGateways,
        seed: int,
        level: OverloadStatus | None = None,
        gateways_unreachable: Callable[[Site], bool] = lambda site: False,
    ):
        self.core = core
        self.remotes = remotes
        self.level = level
        self._gateways_unreachable = gateways_unreachable
        self.active = ActiveRules(rules, 0)
        self.random = random.Random(f"gather {seed}")
        self.latencies = SiteLatencies()
        self.result_cache = ResultCache(int(rules.file.cache_mb * MEBIBYTE))
        self.counts = Counter[str]()
        self.requests: dict[str, GatheredRequest] = {}
        self._ready_zones: frozenset[str] = frozenset()

    def count(self, name: str) -> None:
        """Add one to a counter of this component."""
        self.counts[name] += 1

    # ---- rules and endpoints

    def apply_rules(self, rules: GatherRules, version: int) -> None:
        """Apply rules to requests from now on; open requests keep theirs."""
        self.active = ActiveRules(rules, version)
        self.count("gather_rules_held")

    def update_endpoints(self, snapshot: EndpointSnapshot) -> None:
        """Apply a new endpoint list."""
        self._ready_zones = frozenset(entry.zone for entry in snapshot.entries if entry.state == "Ready")
        self.cancel_unreachable()

    def cancel_unreachable(self) -> None:
        """Cancel subrequests to sites that have become unreachable."""
        for request in list(self.requests.values()):
            for site in [site for site in request.state.in_flight if self._is_unreachable(request.sites[site])]:
                self._apply(request, request.state.mark_unreachable(self.core.clock.now(), site))

    def _is_unreachable(self, site: Site) -> bool:
        if site.zones:
            return not self._ready_zones.intersection(site.zones)
        return self._gateways_unreachable(site)

    # ---- core.gather.GatherPort

    def accept(self, query: Query) -> bool:
        """Gather the request if a rule matches it; False leaves it to the core."""
        rules = self.active.rules
        rule = rules.find(query.cls, query.tenant, query.tables)
        if rule is None:
            return False
        hops = hop_count.hop_count_of(query.id)
        if hops >= rules.file.hops:  # ends a loop of sites that gather from one another: it runs as an ordinary request
            self.count("gather_hops_ended")
            return False
        self.count("gathers")
        now = self.core.clock.now()
        request = GatheredRequest(query, rule, rules.sites, hops + 1)
        request.state = self._new_state(query, rule, rules, now)
        self.requests[query.id] = request
        overloaded = self.level is not None and self.level.is_shedding()
        unreachable = lambda site: self._is_unreachable(rules.sites[site])  # noqa: E731
        self._apply(request, request.state.start(now, unreachable, overloaded))
        return True

    def _new_state(self, query: Query, rule: Rule, rules: GatherRules, now: int) -> Gather:
        cache_key = query.cls, query.tenant, query.statement
        return Gather(
            rule,
            rules.weights,
            now,
            query.deadline - min(JOIN_TIME_US, max(query.deadline - now, 0) // 4),
            self.core.limits.max_result_size,
            lambda site: self.latencies.quantile(site, query.cls, rule.latency_quantile),
            lambda site: self.result_cache.get(site, cache_key),
            self._take_retry_token,
            DEFAULT_BACKOFF_US,
            getattr(query.reply, "marks", False),
        )

    def client_disconnected(self, query: Query) -> None:
        """Cancel the subrequests of a request whose client has disconnected, or that the core has answered."""
        request = self.requests.pop(query.id, None)
        if request is not None:
            self._cancel_timers(request)
            self._apply(request, request.state.cancel())

    def _take_retry_token(self) -> bool:
        return self.level.try_spend_retry() if self.level is not None else True

    # ---- results of subrequests

    def complete_with_rows(self, request: GatheredRequest, site: str, attempt: int, pages: Sequence[bytes]) -> None:
        """A subrequest returned its rows."""
        now = self.core.clock.now()
        self._record_latency(request, site, attempt, now)
        rows = Rows(tuple(pages))
        query = request.query
        if request.rule.fill_ms:
            self.result_cache.put(site, (query.cls, query.tenant, query.statement), rows, now)
        self._apply(request, request.state.receive_rows(now, site, attempt, rows))

    def complete_without_rows(
        self, request: GatheredRequest, site: str, attempt: int, reason: MissingReason, backoff: int, may_retry: bool
    ) -> None:
        """A subrequest ended without rows. `may_retry`: another coordinator of the site may be tried."""
        now = self.core.clock.now()
        request.calls.pop((site, attempt), None)
        request.sent_at.pop((site, attempt), None)
        self.count(f"gather_parts_{reason}")
        self._apply(request, request.state.fail_site(now, site, attempt, reason, backoff, may_retry))

    def _record_latency(self, request: GatheredRequest, site: str, attempt: int, now: int) -> None:
        request.calls.pop((site, attempt), None)
        sent_at = request.sent_at.pop((site, attempt), None)
        if sent_at is not None:
            self.latencies.add(site, request.query.cls, now - sent_at)

    # ---- effects

    def _apply(self, request: GatheredRequest, effects: Sequence[Effect]) -> None:
        for effect in effects:
            match effect:
                case SendSubrequest():
                    if not request.state.done:  # carrying out an earlier effect may have led to the answer
                        self._send_subrequest(request, effect)
                case CancelSubrequest(site, attempt):
                    self._cancel_call(request, site, attempt)
                case StartTimer(at):
                    if not request.state.done:
                        request.timers.append(self.core.timers.call_at(at, self._timer_fired, request))
                case Answer():
                    self._answer(request, effect)

    @staticmethod
    def _cancel_timers(request: GatheredRequest) -> None:
        """Cancel the timers of a request that has ended: they would keep it until they expire."""
        for timer in request.timers:
            timer.cancel()
        request.timers.clear()

    def _timer_fired(self, request: GatheredRequest) -> None:
        self._apply(request, request.state.timer_fired(self.core.clock.now()))

    def _send_subrequest(self, request: GatheredRequest, effect: SendSubrequest) -> None:
        now = self.core.clock.now()
        request.sent_at[effect.site, effect.attempt] = now
        self.count("gather_parts")
        if effect.attempt:
            self.count("gather_further_tries")
        site = request.sites[effect.site]
        request_id = hop_count.subrequest_id(self.random, request.hops)
        if site.zones:
            self._send_locally(request, effect, site, request_id)
        else:
            self._send_to_gateway(request, effect, site, request_id, effect.deadline - now)

    def _send_locally(self, request: GatheredRequest, effect: SendSubrequest, site: Site, request_id: str) -> None:
        query = request.query
        call = LocalCall(self, request, effect.site, effect.attempt)
        subrequest = Query(
            request_id,
            query.cls,
            query.statement,
            effect.deadline,
            call,
            tenant=query.tenant,
            estimate=query.estimate,
            memory_mb=query.memory_mb,
            tables=query.tables,
        )
        subrequest.is_subrequest = True
        subrequest.zones = site.zones
        call.query = subrequest
        request.calls[effect.site, effect.attempt] = call
        self.core.submit(subrequest)

    def _send_to_gateway(
        self, request: GatheredRequest, effect: SendSubrequest, site: Site, request_id: str, budget: int
    ) -> None:
        if request.query.reply.reading_paused:  # the client may have disconnected unseen
            self.complete_without_rows(request, effect.site, effect.attempt, "refused", 0, False)
            return
        attempted = request.attempted_addresses.setdefault(site.name, set())
        candidates = [address for address in site.addresses if address not in attempted] or list(site.addresses)
        address = self.random.choice(candidates)
        attempted.add(address)
        others_left = len(attempted) < len(site.addresses)

        def completed(body: bytes | None, reason: MissingReason, backoff: int, may_retry: bool) -> None:
            if body is not None:
                self.complete_with_rows(request, effect.site, effect.attempt, (body,))
            else:
                retry = may_retry and others_left
                self.complete_without_rows(request, effect.site, effect.attempt, reason, backoff, retry)

        call = self.remotes.call(address, request.query, request_id, budget, completed)
        if call is None:
            self.complete_without_rows(request, effect.site, effect.attempt, "refused", 0, others_left)
            return
        request.calls[effect.site, effect.attempt] = call

    def _cancel_call(self, request: GatheredRequest, site: str, attempt: int) -> None:
        call = request.calls.pop((site, attempt), None)
        sent_at = request.sent_at.pop((site, attempt), None)
        self.count("gather_parts_called_off")
        if sent_at is not None:  # a lower bound of its latency
            self.latencies.add(site, request.query.cls, self.core.clock.now() - sent_at)
        if call is not None:
            call.cancel()

    def _answer(self, request: GatheredRequest, answer: Answer) -> None:
        query = request.query
        self.requests.pop(query.id, None)
        self._cancel_timers(request)
        if answer.outcome == "refused":
            self.count("gather_refused")
            self.core.complete_gathered(query, "refused", backoff=answer.backoff)
            return
        status = answer.status
        self.count("gather_whole" if status is None or status.complete else "gather_partial")
        query.gather_status = status if getattr(query.reply, "marks", False) else None
        self.core.complete_gathered(query, "served", answer.pages)

    def metrics(self) -> dict[str, Any]:
        """Counters and gauges by name, for DUMP and the control port."""
        return {
            **self.counts,
            "gather_open": len(self.requests),
            "gather_kept_bytes": self.result_cache.size_bytes,
            "gather_rules_version": self.active.version,
        }

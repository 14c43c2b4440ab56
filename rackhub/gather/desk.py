"""Gathers at one gateway: a machine for each request that a rule meets, parts here and at other installations.

It implements `core.gather.GatherPort`. All decisions are in `state`; here its effects are carried out.
"""

import random
from collections import Counter
from collections.abc import Callable, Mapping, Sequence
from typing import Any, NamedTuple, Protocol

from rackhub.core.coordinator import Coordinator
from rackhub.core.gather import Missing
from rackhub.core.request import Query, Reply
from rackhub.core.source import Address, EndpointSnapshot
from rackhub.fleet.ports import Level
from rackhub.gather import hops
from rackhub.gather.learned import Shelf, Times
from rackhub.gather.remote import Remotes
from rackhub.gather.rules import GatherRules, Rule, Site
from rackhub.gather.state import Answer, CallOff, Effect, Gather, Rows, SendPart, Wake

MS, SECOND = 1_000, 1_000_000
JOINING = 20 * MS  # of the client's time, kept for joining the rows and for writing them
BACKOFF = 200 * MS  # for a refusal of which no site told how long


class Called(Protocol):
    """A part under way."""

    def call_off(self) -> None: ...


class Local(Reply):
    """A part that runs in this list's zones: a request of the core's own, whose answer comes here."""

    __slots__ = ("desk", "open", "site", "number", "query", "over")
    marks = False

    def __init__(self, desk: "GatherDesk", open: "Open", site: str, number: int):
        self.desk, self.open, self.site, self.number, self.over = desk, open, site, number, False
        self.query: Query | None = None

    def call_off(self) -> None:
        if not self.over and self.query is not None:
            self.over = True
            self.desk.core.disconnect_client(self.query)

    def served(self, query: Query, rows: Sequence[bytes]) -> None:
        if not self.over:
            self.over = True
            self.desk.came(self.open, self.site, self.number, rows)

    def rejected(self, query: Query, backoff: int) -> None:
        self._without("refused", backoff)

    def failed(self, query: Query, why: str) -> None:
        self._without("failed", 0)

    def _without(self, why: Missing, backoff: int) -> None:
        if not self.over:
            self.over = True
            late = self.query is not None and self.desk.core.is_near_deadline(self.query)
            self.desk.without(self.open, self.site, self.number, "late" if late else why, backoff, False)


class Open:
    """One request that is being gathered."""

    __slots__ = ("query", "rule", "sites", "gather", "hops", "parts", "sent", "tried")

    def __init__(self, query: Query, rule: Rule, sites: Mapping[str, Site], hops: int):
        """`sites` of the rules that it began with: it ends under them, whatever holds by then."""
        self.query, self.rule, self.sites, self.hops = query, rule, sites, hops
        self.gather: Gather
        self.parts: dict[tuple[str, int], Called] = {}
        self.sent: dict[tuple[str, int], int] = {}
        self.tried: dict[str, set[Address]] = {}


class Held(NamedTuple):
    """The rules in force, and the sites that they are about."""

    rules: GatherRules
    version: int


class GatherDesk:
    """`cut(site)`: whether members say that it can't be reached. `level`: of the fleet, where there is one."""

    def __init__(
        self,
        core: Coordinator,
        rules: GatherRules,
        remotes: Remotes,
        seed: int,
        level: Level | None = None,
        cut: Callable[[Site], bool] = lambda site: False,
    ):
        self.core, self.remotes, self.level, self._cut_off = core, remotes, level, cut
        self.held = Held(rules, 0)
        self.random = random.Random(f"gather {seed}")
        self.times, self.shelf = Times(), Shelf(int(rules.told.kept_mb * 1_048_576))
        self.counts = Counter[str]()
        self.open: dict[str, Open] = {}
        self._ready: frozenset[str] = frozenset()  # zones that have an engine

    def count(self, name: str) -> None:
        self.counts[name] += 1

    # ---- the rules, the list

    def hold(self, rules: GatherRules, version: int) -> None:
        """Other rules, for requests from now on; open gathers end under theirs."""
        self.held = Held(rules, version)
        self.count("gather_rules_held")

    def listed(self, listing: EndpointSnapshot) -> None:
        self._ready = frozenset(entry.zone for entry in listing.entries if entry.state == "Ready")
        self.look()

    def look(self) -> None:
        """Who can be reached has changed: what is cut off is waited for no more."""
        for open in list(self.open.values()):
            for site in [site for site in open.gather.out if self._cut(open.sites[site])]:
                self._do(open, open.gather.cut(self.core.clock.now(), site))

    def _cut(self, site: Site) -> bool:
        return not self._ready.intersection(site.zones) if site.zones else self._cut_off(site)

    # ---- core.gather.GatherPort

    def accept(self, query: Query) -> bool:
        rules = self.held.rules
        rule = rules.find(query.cls, query.tenant, query.tables)
        if rule is None:
            return False
        come = hops.hops_of(query.id)
        if come >= rules.told.hops:  # sites that gather from one another: here it runs as a request like others
            self.count("gather_hops_ended")
            return False
        self.count("gathers")
        now = self.core.clock.now()
        open = self.open[query.id] = Open(query, rule, rules.sites, come + 1)
        deadline = query.deadline - min(JOINING, max(query.deadline - now, 0) // 4)
        request = query.cls, query.tenant, query.statement
        open.gather = Gather(
            rule,
            rules.weights,
            now,
            deadline,
            self.core.limits.result,
            lambda site: self.times.quantile(site, query.cls, rule.worth),
            lambda site: self.shelf.get(site, request),
            self._token,
            BACKOFF,
            getattr(query.reply, "marks", False),
        )
        over = self.level is not None and self.level.over()
        self._do(open, open.gather.start(now, lambda site: self._cut(rules.sites[site]), over))
        return True

    def client_disconnected(self, query: Query) -> None:
        open = self.open.pop(query.id, None)
        if open is not None:
            self._do(open, open.gather.left())

    def _token(self) -> bool:
        return self.level.token() if self.level is not None else True

    # ---- what parts bring

    def came(self, open: Open, site: str, number: int, pages: Sequence[bytes]) -> None:
        now = self.core.clock.now()
        self._over(open, site, number, now)
        rows = Rows(tuple(pages))
        if open.rule.fill_ms:
            self.shelf.put(site, (open.query.cls, open.query.tenant, open.query.statement), rows, now)
        self._do(open, open.gather.came(now, site, number, rows))

    def without(self, open: Open, site: str, number: int, why: Missing, backoff: int, again: bool) -> None:
        now = self.core.clock.now()
        open.parts.pop((site, number), None)
        open.sent.pop((site, number), None)
        self.count(f"gather_parts_{why}")
        self._do(open, open.gather.failed(now, site, number, why, backoff, again))

    def _over(self, open: Open, site: str, number: int, now: int) -> None:
        open.parts.pop((site, number), None)
        if (sent := open.sent.pop((site, number), None)) is not None:
            self.times.add(site, open.query.cls, now - sent)

    # ---- what the machine wants

    def _do(self, open: Open, effects: Sequence[Effect]) -> None:
        for effect in effects:
            match effect:
                case SendPart():
                    if not open.gather.over:  # an end of a part before this one may have answered it
                        self._send(open, effect)
                case CallOff(site, number):
                    self._call_off(open, site, number)
                case Wake(at):
                    self.core.timers.at(at, self._wake, open)
                case Answer():
                    self._answer(open, effect)

    def _wake(self, open: Open) -> None:
        self._do(open, open.gather.woke(self.core.clock.now()))

    def _send(self, open: Open, part: SendPart) -> None:
        now, query = self.core.clock.now(), open.query
        open.sent[part.site, part.number] = now
        self.count("gather_parts")
        if part.number:
            self.count("gather_further_tries")
        site = open.sites[part.site]
        id = hops.part_id(self.random, open.hops)
        if site.zones:
            local = Local(self, open, part.site, part.number)
            own = local.query = Query(
                id,
                query.cls,
                query.statement,
                part.until,
                local,
                tenant=query.tenant,
                estimate=query.estimate,
                memory_mb=query.memory_mb,
                tables=query.tables,
            )
            own.is_subrequest, own.zones = True, site.zones
            open.parts[part.site, part.number] = local
            return self.core.submit(own)
        self._send_away(open, part, site, id, part.until - now)

    def _send_away(self, open: Open, part: SendPart, site: Site, id: str, budget: int) -> None:
        tried = open.tried.setdefault(site.name, set())
        able = [address for address in site.addresses if address not in tried] or list(site.addresses)
        address = self.random.choice(able)
        tried.add(address)
        more = len(tried) < len(site.addresses)

        def done(body: bytes | None, why: Missing, backoff: int, again: bool) -> None:
            if body is not None:
                self.came(open, part.site, part.number, (body,))
            else:
                self.without(open, part.site, part.number, why, backoff, again and more)

        asked = self.remotes.ask(address, open.query, id, budget, done)
        if asked is None:
            return self.without(open, part.site, part.number, "refused", 0, more)
        open.parts[part.site, part.number] = asked

    def _call_off(self, open: Open, site: str, number: int) -> None:
        part = open.parts.pop((site, number), None)
        sent = open.sent.pop((site, number), None)
        self.count("gather_parts_called_off")
        if sent is not None:  # it would have taken longer: so it counts as what it had taken
            self.times.add(site, open.query.cls, self.core.clock.now() - sent)
        if part is not None:
            part.call_off()

    def _answer(self, open: Open, answer: Answer) -> None:
        self.open.pop(open.query.id, None)
        query = open.query
        if answer.how == "refused":
            self.count("gather_refused")
            self.core.complete_gathered(query, "refused", backoff=answer.backoff)
            return
        told = answer.told
        self.count("gather_whole" if told is None or told.complete else "gather_partial")
        query.gather_status = told if getattr(query.reply, "marks", False) else None
        self.core.complete_gathered(query, "served", answer.pages)

    def figures(self) -> dict[str, Any]:
        return {
            **self.counts,
            "gather_open": len(self.open),
            "gather_kept_bytes": self.shelf.held,
            "gather_rules_version": self.held.version,
        }

"""Clients over JSON-RPC: what was drawn ahead goes out at its time whatever became of the rest, refusals are carried to
the next gateway, and every try is followed to its one answer.

A try whose connection ends without an answer is lost, unless the rig killed or paused its gateway meanwhile, or it
crossed a close: then it is sent again, once, as the protocol has it.
"""

import os
import random
from collections.abc import Callable, Mapping
from typing import Any

import msgspec

from rackhub.fleet.ports import Address, Clock
from rackhub.trials.processes import served
from rackhub.trials.processes.arrivals import Arrival
from rackhub.trials.processes.audit import Found
from rackhub.trials.processes.feed import Feed
from rackhub.trials.processes.link import Link, Request, Try
from rackhub.trials.processes.pool import Pool
from rackhub.trials.processes.score import Score

SECOND, MS = 1_000_000, 1_000
REFUSED = -32008
CROSSED = 60 * MS  # a request sent so shortly before a close has crossed it
GRACE = 1_500 * MS  # past the budget, before a try without an answer is lost: an answer that comes by then is late


class Retry(msgspec.Struct, frozen=True):
    """How clients take a refusal: so many further tries at the next gateways, after the back-off or heedless of it."""

    most: int = 2
    honour: bool = True


class Clients:
    """All clients of a rig. `away(gateway, since, until)`: whether the rig had that gateway paused or down then;
    `ran(rid)`: the engines that ran it."""

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        addresses: Mapping[str, Address],
        retry: Retry,
        seed: int,
        away: Callable[[str, int, int], bool],
        ran: Callable[[str], set[str]],
        takes: Callable[[str], bool] = lambda gateway: True,
        judge: served.Judge | None = None,
    ):
        """`takes`: whether the front still sends that gateway anything. `judge`: see `served.fault`."""
        self.reactor, self.clock, self.retry, self._away, self._ran = reactor, clock, retry, away, ran
        self._takes = takes
        self._names, self._judge = list(addresses), judge
        self._random = random.Random(f"{seed}/clients")
        self.pool, self._feed = Pool(self, addresses), Feed(reactor, clock, self._arrive)
        self.found, self.score = Found(), Score()
        self.totals, self.latencies, self.timeline = self.score.totals, self.score.latencies, self.score.timeline
        self.requests: list[Request] = []

    # ---- what goes out

    def run(self, arrivals: Any) -> None:
        """Send all of these at their times, from now on."""
        self.score.began = self.clock.now()
        self._feed.run(iter(arrivals))

    def stop(self) -> None:
        """What was not sent yet is not sent any more."""
        self._feed.stop()

    def _arrive(self, arrival: Arrival) -> None:
        request = Request(arrival, len(self.requests) + 1, self.clock.now())
        self.requests.append(request)
        self.score.came(request)
        self._try(request)

    def _left(self, request: Request) -> int:
        return request.at + request.arrival.kind.deadline - self.clock.now()

    def _try(self, request: Request) -> None:
        gateway = request.gateway
        for _ in self._names:
            if self.pool.reachable(gateway) and self._takes(gateway):
                break
            gateway = self._after(gateway)
        request.gateway = gateway
        request.tries += 1
        self.totals.tries += 1
        each = Try(request, os.urandom(8).hex(), gateway, max(self._left(request), MS))
        self.pool.carry(each)

    def _after(self, gateway: str) -> str:
        return self._names[(self._names.index(gateway) + 1) % len(self._names)]

    def sent(self, each: Try) -> None:
        if each.limit is None:
            each.limit = self.reactor.callLater((each.budget + GRACE) / SECOND, self._given_up, each)

    # ---- what comes back

    def answered(self, each: Try, told: dict[str, Any]) -> None:
        now, request = self.clock.now(), each.request
        self._settle(each)
        if now > each.sent + each.budget + 50 * MS and not self._away(each.gateway, each.sent, now):
            self.totals.late += 1
        if "result" in told:
            self._served(each, told["result"], now)
        elif told.get("error", {}).get("code") == REFUSED:
            self.totals.refusals += 1
            self._carry_on(request, float(told["error"].get("data", {}).get("backoff", 0)) / 1_000)
        elif "error" in told:
            self.score.error(told["error"])
            self.score.over(request, "failed")
        else:
            self.found.add("unreadable", f"{each.gateway}: neither result nor error")
            self.score.over(request, "failed")

    def _served(self, each: Try, result: dict[str, Any], now: int) -> None:
        wrong = served.fault(each, result, self._ran, self._judge)
        if wrong is not None:
            self.found.add(wrong[0], f"{each.gateway}: {each.rid}: {wrong[1]}")
        self.score.served(each.request, now)

    def _carry_on(self, request: Request, backoff: float) -> None:
        wait = backoff if self.retry.honour else self._random.uniform(0.005, 0.05)
        if request.arrival.bad or request.tries > self.retry.most or self._left(request) < wait * SECOND + 100 * MS:
            return self.score.over(request, "refused")
        self.totals.carried_on += 1
        request.gateway = self._after(request.gateway)
        self.reactor.callLater(wait, self._try, request)

    def _settle(self, each: Try) -> None:
        each.answered = True
        if each.limit is not None and each.limit.active():
            each.limit.cancel()

    def _given_up(self, each: Try) -> None:
        """Nothing came, past the budget and some time more."""
        if each.answered:
            return
        each.answered = True
        if each.link is not None:
            each.link.withdraw(each)
        if self._away(each.gateway, each.sent, self.clock.now()):
            self.totals.cut += 1
        else:
            self.found.add("lost", f"{each.gateway}: {each.rid}: no answer in its time")
        self.score.over(each.request, "gave_up")

    # ---- connections that end

    def lost(self, link: Link) -> None:
        self.pool.remove(link)
        now, left, link.open = self.clock.now(), list(link.open.values()), {}
        for each in [*left, *link.waiting]:
            if each.answered:
                continue
            if self._away(link.gateway, each.sent or now, now):
                self._settle(each)
                self.totals.cut += 1
                self._elsewhere(each.request)
            elif not each.sent or now - each.sent <= CROSSED and not each.again:
                each.again = True
                self.pool.carry(each)
            else:
                self._settle(each)
                self.found.add("lost", f"{link.gateway}: {each.rid}: its connection ended without an answer")
                self.score.over(each.request, "failed")

    def unreached(self, link: Link) -> None:
        """Nobody listens there: nothing was sent."""
        self.pool.remove(link)
        self.pool.shun(link.gateway)
        for each in link.waiting:
            self._settle(each)
            self.totals.unreached += 1
            self._elsewhere(each.request)

    def _elsewhere(self, request: Request) -> None:
        """A try that found nobody, or whose gateway was killed: all classes here may be tried again."""
        if request.tries > len(self._names) + self.retry.most or self._left(request) < 100 * MS:
            return self.score.over(request, "gave_up")
        request.gateway = self._after(request.gateway)
        self.reactor.callLater(self._random.uniform(0.002, 0.02), self._try, request)

    # ---- the end

    def quiet(self) -> bool:
        """All went out and all is over."""
        return self._feed.drawn_out and not self.score.open

    def close(self) -> None:
        for each in self.pool.close():
            self._settle(each)

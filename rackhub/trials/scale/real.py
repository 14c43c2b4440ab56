"""A scale run in real time: processes of hollow coordinators, relays and voters on 127.0.0.1, and their parent."""

import asyncio
import time
from collections.abc import Sequence

from rackhub.trials.scale.addresses import HeldPorts, hold_ports
from rackhub.trials.scale.audit import audit, newest_in_scope
from rackhub.trials.scale.cases import plan
from rackhub.trials.scale.editor import Editor
from rackhub.trials.scale.layout import RULE_KEYS, layout
from rackhub.trials.scale.measure import cost, lateness_p99
from rackhub.trials.scale.orders import (
    Begin,
    BeginReal,
    Begun,
    Edit,
    Edited,
    Finish,
    Finished,
    FinishedReal,
    Poll,
    Polled,
    Restarted,
)
from rackhub.trials.scale.processes import ChildProcess, ProcessFailed
from rackhub.trials.scale.real_edits import RealEdits
from rackhub.trials.scale.real_faults import RealFaults
from rackhub.trials.scale.result import LATENESS_MOST, Cost, Real, Result, Side, judged
from rackhub.trials.scale.settings import RunSettings
from rackhub.trials.scale.trace import Outage

READY_SECONDS = 200.0  # until all coordinators hold what is in force at the start
LAST_CHANGE_SECONDS = 20.0  # for the last change after the end
LOOK_SECONDS = 0.5
REAL_MODULE = "rackhub.trials.scale.real_coordinators"
NOTES = (
    "real time: real sockets on 127.0.0.1, no delay between zones; a hollow coordinator is watcher, link and, unless "
    "said otherwise, members' core; its disk is in memory and syncs after 2 ms",
    "decisions were made by the real register of five voters, whose disks are in memory; edits went to it without the "
    "check by one coordinator of each zone",
)
NO_MEMBERS_NOTE = "without the members' core"


def real_run(settings: RunSettings) -> Result:
    """Raises `ProcessFailed`. All processes are gone when it returns or raises."""
    return asyncio.run(RealRun(settings).run())


class RealRun:
    """One run, from the first process on to the verdict."""

    def __init__(self, settings: RunSettings):
        self._settings = settings
        self._layout = layout(settings)
        self._plan = plan(settings, self._layout)
        self._initial = Editor(list(self._layout.regions), settings.seed).initial()
        self._hollow: list[ChildProcess] = []
        self._relays: list[ChildProcess] = []
        self._voters: list[ChildProcess] = []
        self._real: list[ChildProcess] = []  # with distribution, then without
        self._host_of: dict[str, ChildProcess] = {}
        self._ports: HeldPorts | None = None  # until all processes have ended
        self._empty: list[int] = []  # resident bytes of each hollow process before its coordinators
        self._edits = RealEdits(lambda: self._voters[0].send(Edit()))
        self._faults = RealFaults(self._layout, self._host_of, self._edits.edit)

    async def run(self) -> Result:
        try:
            await self._start()
            await self._ready()
            return await self._measure()
        finally:
            await asyncio.gather(*(child.end() for child in self._all()), return_exceptions=True)
            if self._ports is not None:
                self._ports.release()

    def _all(self) -> list[ChildProcess]:
        return self._hollow + self._relays + self._voters + self._real

    # ---- start

    async def _start(self) -> None:
        shared = [place.name for place in self._layout.coordinators]
        count = self._settings.processes
        groups: list[tuple[list[ChildProcess], tuple[str, ...]]] = []
        groups += [(self._voters, (place.name,)) for place in self._layout.voters]
        groups += [(self._relays, (place.name,)) for place in self._layout.relays]
        groups += [(self._hollow, tuple(shared[index::count])) for index in range(count) if shared[index::count]]
        self._ports = hold_ports(self._layout)
        base_port = self._ports.base
        boot = time.time_ns() // 1_000_000
        for children, places in groups:
            child = ChildProcess(places[0], self._told)
            children.append(child)
            await child.start()
            self._host_of.update(dict.fromkeys(places, child))
        begins = [Begin(self._settings, places, base_port, boot) for _, places in groups]
        begun = await asyncio.gather(*(self._host_of[begin.places[0]].ask(begin, Begun) for begin in begins))
        if self._settings.real:
            await self._start_real(base_port)
        self._empty = [answer.memory for answer in begun[-len(self._hollow) :]]

    async def _start_real(self, base_port: int) -> None:
        for distribution in (True, False):
            name = "real coordinators " + ("with distribution" if distribution else "without")
            child = ChildProcess(name, self._told, REAL_MODULE)
            self._real.append(child)
            await child.start()
        orders = [BeginReal(self._settings, base_port, distribution) for distribution in (True, False)]
        await asyncio.gather(*(child.ask(order, Begun) for child, order in zip(self._real, orders, strict=True)))

    async def _ready(self) -> None:
        if not await self._in_force(self._initial.revision, READY_SECONDS):
            raise ProcessFailed(f"not all coordinators held revision {self._initial.revision} within {READY_SECONDS} s")
        while not all(poll.ready for poll in await self._poll(self._voters)):
            await asyncio.sleep(LOOK_SECONDS)
        await asyncio.sleep(self._settings.settle)

    async def _in_force(self, revision: int, within: float) -> bool:
        """Whether all hollow coordinators came to that revision in time."""
        end = time.monotonic() + within
        while time.monotonic() < end:
            if min(poll.lowest for poll in await self._poll(self._hollow)) >= revision:
                return True
            await asyncio.sleep(LOOK_SECONDS)
        return False

    async def _counted_in_force(self) -> None:
        """Until the first voter's sum says so, too."""
        end = time.monotonic() + LAST_CHANGE_SECONDS
        while time.monotonic() < end and (await self._poll(self._voters[:1]))[0].lagging:
            await asyncio.sleep(LOOK_SECONDS)

    async def _poll(self, children: Sequence[ChildProcess]) -> list[Polled]:
        return list(await asyncio.gather(*(child.ask(Poll(), Polled) for child in children if not child.ended)))

    def _told(self, report: Edited | Restarted) -> None:
        if isinstance(report, Restarted):
            self._faults.restarted(report.name, Outage(report.start, report.end))
        else:
            self._edits.answered(report)

    # ---- figures

    async def _measure(self) -> Result:
        before, relays_before = await self._poll(self._hollow), await self._poll(self._relays)
        await self._poll(self._voters)
        began = time.monotonic()
        edits = self._edits.edit_for(self._plan.seconds, self._plan.rate)
        await asyncio.gather(edits, self._faults.run(self._plan.actions))
        after, relays_after = await self._poll(self._hollow), await self._poll(self._relays)
        voters_after = await self._poll(self._voters)
        seconds = time.monotonic() - began
        coordinators = cost(before, after, self._empty, len(self._layout.coordinators), seconds)
        relay = None
        if len(relays_before) == len(relays_after):
            relay = cost(relays_before, relays_after, [0], len(relays_after), seconds)
        late = lateness_p99(after + relays_after + voters_after)
        return await self._finish(coordinators, relay, late)

    async def _finish(self, cost: Cost, relay: Cost | None, late: float) -> Result:
        ordered = self._edits.in_order()
        newest = ordered[-1].change.revision if ordered else self._initial.revision
        await self._in_force(newest, LAST_CHANGE_SECONDS)
        real = await self._finish_real(newest_in_scope(ordered, (RULE_KEYS,))) if self._real else None
        await self._counted_in_force()
        decided = await self._voters[0].ask(Finish(), Finished)
        alive = [child for child in self._hollow + self._relays + self._voters[1:] if not child.ended]
        finished = await asyncio.gather(*(child.ask(Finish(), Finished) for child in alive))
        traces = [trace for one in finished for trace in one.traces]
        verdict = audit(decided.content, ordered, traces, self._faults.outages)
        result = Result(
            case=self._settings.case,
            time="real",
            seed=self._settings.seed,
            coordinators=len(self._layout.coordinators),
            zones=self._settings.zones,
            relays=len(self._layout.relays),
            voters=len(self._layout.voters),
            processes=self._settings.processes,
            real=self._settings.real,
            real_coordinators=real,
            rate=self._plan.rate,
            seconds=self._plan.seconds,
            verdict=verdict,
            cost=cost,
            lateness_p99=late,
            keeps_up=late <= LATENESS_MOST,
            relay_bytes_out=relay.bytes_out if relay is not None else None,
            relay_cpu_percent=relay.cpu_percent if relay is not None else None,
            counters=_sum([decided, *finished]),
            status=decided.status,
            failed_edits=len(self._edits.failed),
            notes=self._notes(),
        )
        return judged(result, self._plan.steady)

    async def _finish_real(self, newest: int) -> Real:
        with_it, without = await asyncio.gather(*(child.ask(Finish(), FinishedReal) for child in self._real))
        sides = [_side(one) for one in (with_it, without)]
        ratio = sides[0].served_a_cpu_second / max(sides[1].served_a_cpu_second, 1e-9)
        return Real(
            with_distribution=sides[0],
            without=sides[1],
            ratio=round(ratio, 3),
            revisions=with_it.revisions,
            current=min(with_it.revisions) >= newest,
        )

    def _notes(self) -> tuple[str, ...]:
        notes = list(NOTES)
        if not self._settings.members:
            notes.append(NO_MEMBERS_NOTE)
        if self._edits.failed:
            notes.append(f"{len(self._edits.failed)} edits failed, the first: {self._edits.failed[0]}")
        return tuple(notes)


def _side(finished: FinishedReal) -> Side:
    return Side(
        finished.requests,
        finished.served,
        finished.refused,
        finished.failed,
        round(finished.cpu, 3),
        finished.faults,
    )


def _sum(finished: Sequence[Finished]) -> dict[str, int]:
    counters: dict[str, int] = {}
    for one in finished:
        for name, count in one.counters.items():
            counters[name] = counters.get(name, 0) + count
    return dict(sorted(counters.items()))

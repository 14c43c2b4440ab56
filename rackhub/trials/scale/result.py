"""What a scale run comes to, as one typed object."""

import msgspec

from rackhub.trials.scale.audit import Spread, Verdict
from rackhub.trials.scale.settings import BYTES_A_SECOND, CPU_PERCENT, IN_FORCE_SECONDS, MEMORY_MEGABYTES

LATENESS_MOST = 0.1  # seconds, p99: a process whose timers are later does not keep up


class Cost(msgspec.Struct, frozen=True, kw_only=True):
    """Of one hollow coordinator, as the mean of all, while changes were made. None: not measured in this kind of run.
    Bytes are those on the wire, with 28 for the heads of IP and UDP of each datagram."""

    bytes_in: float | None = None
    bytes_out: float | None = None
    members_bytes: float | None = None  # of both, what the members' core takes
    cpu_percent: float | None = None  # of one core
    memory_megabytes: float | None = None

    @property
    def within_budget(self) -> bool:
        total = (self.bytes_in or 0.0) + (self.bytes_out or 0.0)
        return (
            total <= BYTES_A_SECOND
            and (self.cpu_percent or 0.0) <= CPU_PERCENT
            and (self.memory_megabytes or 0.0) <= MEMORY_MEGABYTES
        )


class Side(msgspec.Struct, frozen=True):
    """Real coordinators under light traffic: what clients saw, and the CPU seconds of the processes together."""

    requests: int
    served: int
    refused: int
    failed: int
    cpu: float
    faults: dict[str, int] = {}

    @property
    def served_a_cpu_second(self) -> float:
        return self.served / self.cpu if self.cpu else 0.0


class Real(msgspec.Struct, frozen=True, kw_only=True):
    """Those with distribution, and those without it beside them under the same requests. `ratio`: of requests served
    for each CPU second. `revisions`: in force at the end at those with it; `current` where all have the newest of what
    is in their scope, or a later one."""

    with_distribution: Side
    without: Side
    ratio: float
    revisions: tuple[int, ...]
    current: bool


class Result(msgspec.Struct, frozen=True, kw_only=True):
    """One run. `time`: real or virtual. `seconds`: during which changes were made. `lateness_p99`: seconds by which
    timers of the worst process were late, in real time; `keeps_up` where that is not more than a bound."""

    case: str
    time: str
    seed: int
    coordinators: int
    zones: int
    relays: int
    voters: int
    processes: int
    real: int
    rate: float
    seconds: float
    verdict: Verdict
    cost: Cost
    failed_edits: int = 0
    status: str = ""  # what the first voter tells of the newest revision at the end, in real time
    lateness_p99: float | None = None
    keeps_up: bool = True
    relay_bytes_out: float | None = None  # of one relay, a second
    relay_cpu_percent: float | None = None
    real_coordinators: Real | None = None
    counters: dict[str, int] = {}
    notes: tuple[str, ...] = ()
    within_budget: bool = False
    passed: bool = False


def judged(result: Result, steady: bool) -> Result:
    """With its verdict in one word: no fault, all in force within the target's time, timers in time and, in a `steady`
    case without faults, the cost within the target's budget. A fault's cost in a short run is no cost of a day."""
    verdict = result.verdict
    in_time = max(verdict.everywhere.worst, verdict.after_outage.worst) <= IN_FORCE_SECONDS
    within_budget = result.cost.within_budget
    passed = verdict.faultless and in_time and result.keeps_up and not result.failed_edits
    passed = passed and (within_budget or not steady) and _real_is_well(result.real_coordinators)
    return msgspec.structs.replace(result, within_budget=within_budget, passed=passed)


def _real_is_well(real: Real | None) -> bool:
    """No request lost or doubled, and the newest in force. The ratio is told and not judged: one run is too short."""
    return real is None or real.current and not real.with_distribution.faults


def lines(result: Result) -> list[str]:
    """For a reader."""
    verdict, cost = result.verdict, result.cost
    told = [
        f"{result.case} in {result.time} time, seed {result.seed}: {result.coordinators} coordinators, "
        f"{result.relays} relays, {result.voters} voters, {result.zones} zones, {result.real} real",
        f"{verdict.changes} changes in {result.seconds:g} s, {result.rate:g} times the target's pace",
        f"lost {verdict.lost}, revisions back {verdict.revisions_back}, out of scope {verdict.out_of_scope}, "
        f"content differs {verdict.content_differs}",
        _spread_line("in force everywhere", verdict.everywhere),
        _spread_line("in force at each", verdict.each),
        _spread_line("after an outage", verdict.after_outage),
        f"each coordinator: {_figure(cost.bytes_in, 'B/s in')}, {_figure(cost.bytes_out, 'B/s out')}, "
        f"{_figure(cost.cpu_percent, '% of a core')}, {_figure(cost.memory_megabytes, 'MB')}; of these bytes "
        f"{_figure(cost.members_bytes, 'B/s members')}; within budget: {'yes' if result.within_budget else 'no'}",
    ]
    if result.status:
        told.append(f"the first voter's status: {result.status}")
    if result.lateness_p99 is not None:
        told.append(f"timers late: p99 {result.lateness_p99:g} s; keeps up: {'yes' if result.keeps_up else 'no'}")
    if result.real_coordinators is not None:
        real = result.real_coordinators
        told.append(f"real coordinators, with distribution: {_side_line(real.with_distribution)}")
        told.append(f"real coordinators, without: {_side_line(real.without)}")
        told.append(f"requests for each CPU second, with against without: {real.ratio:g}; revisions {real.revisions}")
    told += [f"note: {note}" for note in result.notes]
    told.append("passed" if result.passed else "FAILED")
    return told


def _side_line(side: Side) -> str:
    return (
        f"{side.served} of {side.requests} requests served, {side.refused} refused, {side.failed} failed, "
        f"{side.cpu:.2f} s of CPU, faults {side.faults}"
    )


def _spread_line(what: str, spread: Spread) -> str:
    return f"{what}: p50 {spread.p50:g} s, p99 {spread.p99:g} s, worst {spread.worst:g} s of {spread.count}"


def _figure(value: float | None, unit: str) -> str:
    return f"{unit} not measured" if value is None else f"{value:.3g} {unit}"

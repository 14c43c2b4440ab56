"""What the comparison of a coordinator with distribution to one without it comes to, and its arithmetic."""

import statistics
from collections import Counter
from collections.abc import Sequence
from enum import Enum

import msgspec

RATIO_LEAST = 0.98  # of requests for each CPU second, with distribution against without
LOST = ("lost",)
DOUBLED = ("two_attempts", "effects_twice")
ANSWERED_TWICE = ("answered_twice", "stray_answer")
DATAGRAM_HEADS = 28  # bytes of the heads of IP and UDP


class Way(Enum):
    """How the measured coordinator is set up."""

    PLAIN = "plain"  # no `[fleet]` at all
    MEMBERS = "members"  # `[fleet]` without a role: membership and overload, no configuration
    DISTRIBUTION = "distribution"  # `[fleet] role = "coordinator"`, while a voter takes edits


BASELINES = (Way.PLAIN, Way.MEMBERS)


class Mail(msgspec.Struct, frozen=True):
    """Of distribution at the coordinator, over `seconds`: its own counters of datagrams and their content."""

    seconds: float = 0.0
    bytes_in: int = 0
    bytes_out: int = 0
    packets_in: int = 0
    packets_out: int = 0

    def __add__(self, other: "Mail") -> "Mail":
        return Mail(
            self.seconds + other.seconds,
            self.bytes_in + other.bytes_in,
            self.bytes_out + other.bytes_out,
            self.packets_in + other.packets_in,
            self.packets_out + other.packets_out,
        )

    def __sub__(self, other: "Mail") -> "Mail":
        return self + Mail(-other.seconds, -other.bytes_in, -other.bytes_out, -other.packets_in, -other.packets_out)


class MailRate(msgspec.Struct, frozen=True):
    """Bytes of content a second, and both directions together with the heads of IP and UDP."""

    bytes_in: float
    bytes_out: float
    on_the_wire: float


def mail_rate(mail: Mail) -> MailRate:
    if not mail.seconds:
        return MailRate(0.0, 0.0, 0.0)
    wire = mail.bytes_in + mail.bytes_out + DATAGRAM_HEADS * (mail.packets_in + mail.packets_out)
    return MailRate(*(round(count / mail.seconds, 1) for count in (mail.bytes_in, mail.bytes_out, wire)))


class Window(msgspec.Struct, frozen=True, kw_only=True):
    """One coordinator under traffic. `served`, `cpu` and `seconds` are of the measured part, after the warm-up;
    all others of the whole, with what was still open at its end. `cpu`: user and system seconds of its process."""

    way: Way
    seconds: float
    served: int
    cpu: float
    resident: int  # bytes, at the end
    requests: int
    served_in_all: int
    unserved: dict[str, int] = {}  # by how they ended, and by the words of failures
    faults: dict[str, int] = {}
    edits: int = 0  # acknowledged by the voter
    failed_edits: tuple[str, ...] = ()
    current: bool = True  # the newest edit is in force at the coordinator
    mail: Mail = Mail()

    @property
    def served_a_cpu_second(self) -> float:
        return self.served / self.cpu if self.cpu else 0.0


class Round(msgspec.Struct, frozen=True):
    """Each way once under the same requests, in the order measured. `quiet`: mail while there were no edits."""

    windows: tuple[Window, ...]
    quiet: Mail = Mail()

    def window(self, way: Way) -> Window:
        return next(window for window in self.windows if window.way is way)


class Comparison(msgspec.Struct, frozen=True, kw_only=True):
    """Distribution against one baseline: the ratios of requests served for each CPU second by round, and medians over
    rounds. `control_cpu_percent`: of one core, what distribution took beyond the baseline for as many requests."""

    baseline: Way
    ratios: tuple[float, ...]
    ratio: float
    control_cpu_percent: float
    resident_difference: int  # bytes

    @property
    def within_bound(self) -> bool:
        return self.ratio >= RATIO_LEAST


def compare(rounds: Sequence[Round], baseline: Way) -> Comparison:
    """Each round is a pair under the same requests; a single one may be disturbed, so medians of pairs are told."""
    pairs = [(one.window(Way.DISTRIBUTION), one.window(baseline)) for one in rounds]
    ratios = tuple(round(on.served_a_cpu_second / off.served_a_cpu_second, 4) for on, off in pairs)
    return Comparison(
        baseline=baseline,
        ratios=ratios,
        ratio=round(statistics.median(ratios), 4),
        control_cpu_percent=round(statistics.median(control_cpu_percent(on, off) for on, off in pairs), 3),
        resident_difference=int(statistics.median(on.resident - off.resident for on, off in pairs)),
    )


def control_cpu_percent(on: Window, off: Window) -> float:
    """Of one core: the CPU seconds of `on` beyond those that `off` would have taken for as many requests."""
    return 100 * (on.cpu - on.served / off.served_a_cpu_second) / on.seconds


class OverheadResult(msgspec.Struct, frozen=True, kw_only=True):
    """The whole measurement. `rate`: requests a second; `edit_rate`: multiple of the target's pace. `lost`, `doubled`,
    `answered_twice`: requests of all windows; `faults`: these and any others of safety, by kind. `edits_a_second`:
    acknowledged, over the time under traffic. `busy_percent`: of one core, the measured process in the median window
    with distribution."""

    seed: int
    rate: float
    edit_rate: float
    rounds: tuple[Round, ...]
    comparisons: tuple[Comparison, ...]
    busy_percent: float
    requests: int
    unserved: int
    lost: int
    doubled: int
    answered_twice: int
    faults: dict[str, int]
    edits: int
    edits_a_second: float
    failed_edits: int
    current: bool
    mail_with_edits: MailRate
    mail_in_quiet: MailRate
    faultless: bool
    passed: bool


def summarize(rounds: Sequence[Round], seed: int, rate: float, edit_rate: float) -> OverheadResult:
    """`passed`: no request lost or doubled, the edits in force, and the ratio within its bound against each baseline
    that was measured."""
    windows = [window for one in rounds for window in one.windows]
    on = [one.window(Way.DISTRIBUTION) for one in rounds]
    measured = {window.way for window in windows}
    comparisons = tuple(compare(rounds, baseline) for baseline in BASELINES if baseline in measured)
    faults: Counter[str] = Counter()
    for window in windows:
        faults.update(window.faults)
    mail = sum((window.mail for window in on), Mail())
    failed_edits = sum(len(window.failed_edits) for window in on)
    faultless = not faults and not failed_edits and all(window.current for window in on)
    return OverheadResult(
        seed=seed,
        rate=rate,
        edit_rate=edit_rate,
        rounds=tuple(rounds),
        comparisons=comparisons,
        busy_percent=round(statistics.median(100 * window.cpu / window.seconds for window in on), 2),
        requests=sum(window.requests for window in windows),
        unserved=sum(window.requests - window.served_in_all for window in windows),
        lost=sum(faults[kind] for kind in LOST),
        doubled=sum(faults[kind] for kind in DOUBLED),
        answered_twice=sum(faults[kind] for kind in ANSWERED_TWICE),
        faults=dict(faults),
        edits=sum(window.edits for window in on),
        edits_a_second=round(sum(window.edits for window in on) / mail.seconds, 3) if mail.seconds else 0.0,
        failed_edits=failed_edits,
        current=all(window.current for window in on),
        mail_with_edits=mail_rate(mail),
        mail_in_quiet=mail_rate(sum((one.quiet for one in rounds), Mail())),
        faultless=faultless,
        passed=faultless and all(comparison.within_bound for comparison in comparisons),
    )


def lines(result: OverheadResult) -> list[str]:
    """For a reader."""
    told = []
    for number, one in enumerate(result.rounds, 1):
        told += [f"round {number}: {_window_line(window)}" for window in one.windows]
    told += [_comparison_line(comparison) for comparison in result.comparisons]
    told += [
        f"{result.requests} requests, {result.unserved} not served; lost {result.lost}, doubled {result.doubled}, "
        f"answered twice {result.answered_twice}; faults {result.faults}",
        f"{result.edits} edits, {result.edits_a_second:g} a second, {result.failed_edits} failed; "
        f"in force at the end: {'yes' if result.current else 'no'}",
        f"busy with distribution: {result.busy_percent:g}% of a core",
        f"mail with edits: {_mail_line(result.mail_with_edits)}",
        f"mail in quiet: {_mail_line(result.mail_in_quiet)}",
        "passed" if result.passed else "FAILED",
    ]
    return told


def _window_line(window: Window) -> str:
    return (
        f"{window.way.value}: {window.served} served in {window.seconds:.2f} s, {window.cpu:.3f} s of CPU, "
        f"{window.served_a_cpu_second:.1f} for each CPU second, {window.resident / (1 << 20):.1f} MB"
    )


def _comparison_line(comparison: Comparison) -> str:
    ratios = ", ".join(f"{ratio:g}" for ratio in comparison.ratios)
    return (
        f"against {comparison.baseline.value}: ratio {comparison.ratio:g} (median of {ratios}), control "
        f"{comparison.control_cpu_percent:g}% of a core, {comparison.resident_difference / (1 << 20):+.1f} MB"
    )


def _mail_line(rate: MailRate) -> str:
    return (
        f"{rate.bytes_in:g} B/s in, {rate.bytes_out:g} B/s out, {rate.on_the_wire:g} B/s with the heads of IP and UDP"
    )

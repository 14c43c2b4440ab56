"""When a trial is ended early: its gateways reject requests, or answer late, more often than the others. Pure.

The test is a one-sided two-proportion z-test with a pooled proportion (normal approximation). It is repeated up to
twice a second for as long as the trial lasts, so the threshold is high: at `MIN_DEVIATIONS` one test of equal
proportions is wrong 3 times in 100,000, the 120 tests of a minute at most 4 times in 1,000. Requests of one gateway are
not independent; the difference must therefore also reach `MIN_DIFFERENCE`, and each group must have `MIN_REQUESTS`.
"""

from typing import NamedTuple

from rackhub.fleet.rules.messages import RequestCounts

MIN_REQUESTS = 60  # of each group
MIN_DEVIATIONS = 4.0  # standard deviations
MIN_DIFFERENCE = 0.02  # of the two proportions


class GroupCounts(NamedTuple):
    """What the gateways of one group counted since the trial began."""

    requests: int = 0
    rejected: int = 0
    late: int = 0

    def plus(self, counts: RequestCounts) -> "GroupCounts":
        """Return the sum with the counts of one more gateway."""
        requests, rejected, late = counts
        return GroupCounts(self.requests + requests, self.rejected + rejected, self.late + late)


def deviations(bad_on: int, on: int, bad_off: int, off: int) -> float:
    """Return by how many standard deviations the trial group's proportion exceeds the other group's.

    The standard deviation is that of the difference if both proportions were the same.
    """
    pooled = (bad_on + bad_off) / (on + off)
    standard_error = (pooled * (1 - pooled) * (1 / on + 1 / off)) ** 0.5
    difference = bad_on / on - bad_off / off
    return difference / standard_error if standard_error else 0.0


def verdict(on: GroupCounts, off: GroupCounts) -> str:
    """Return why the trial must end now; empty where there is no reason, or too few requests to tell.

    `on` counts at the gateways of the trial, `off` at all others.
    """
    if on.requests < MIN_REQUESTS or off.requests < MIN_REQUESTS:
        return ""
    return _compare("refused", on.rejected, on.requests, off.rejected, off.requests) or _compare(
        "late", on.late, on.requests, off.late, off.requests
    )


def _compare(name: str, bad_on: int, on: int, bad_off: int, off: int) -> str:
    bad_on = min(bad_on, on)
    bad_off = min(bad_off, off)
    proportion = bad_on / on
    baseline = bad_off / off
    distance = deviations(bad_on, on, bad_off, off)
    if proportion - baseline < MIN_DIFFERENCE or distance < MIN_DEVIATIONS:
        return ""
    return (
        f"{name}: {proportion:.3f} of {on} requests on it, {baseline:.3f} of {off} off it, "
        f"{distance:.1f} deviations apart"
    )

"""Decides when to end a trial early, without I/O: if its gateways reject or delay requests more often than the others.

The test is a one-sided two-proportion z-test with a pooled proportion (normal approximation). It is repeated up to
twice a second for as long as the trial lasts, so the threshold is high: with equal proportions and `MIN_DEVIATIONS`,
one test gives a false positive 3 times in 100,000, and the 120 tests of a minute at most 4 times in 1,000. Requests of
one gateway are not independent; therefore the difference must also reach `MIN_DIFFERENCE`, and each group must have
`MIN_REQUESTS`.
"""

from typing import NamedTuple

from rackhub.fleet.rules.messages import RequestCounts

MIN_REQUESTS = 60  # requests that each group must have
MIN_DEVIATIONS = 4.0  # difference of the two proportions in standard deviations
MIN_DIFFERENCE = 0.02  # difference of the two proportions


class GroupCounts(NamedTuple):
    """The sums of the request counts of a group of gateways since the trial began."""

    requests: int = 0
    rejected: int = 0
    late: int = 0

    def plus(self, counts: RequestCounts) -> "GroupCounts":
        """Return the sums with the counts of another gateway added."""
        requests, rejected, late = counts
        return GroupCounts(self.requests + requests, self.rejected + rejected, self.late + late)


def z_score(trial_failures: int, trial_requests: int, other_failures: int, other_requests: int) -> float:
    """Return by how many standard deviations the trial group's proportion exceeds the other group's.

    The standard deviation is computed as if both proportions were equal.
    """
    pooled = (trial_failures + other_failures) / (trial_requests + other_requests)
    standard_error = (pooled * (1 - pooled) * (1 / trial_requests + 1 / other_requests)) ** 0.5
    difference = trial_failures / trial_requests - other_failures / other_requests
    return difference / standard_error if standard_error else 0.0


def reason_to_end(trial: GroupCounts, others: GroupCounts) -> str:
    """Return why the trial must end now; empty if there is no reason or there are too few requests to decide.

    `trial` counts the requests at the gateways of the trial, `others` those at all other gateways.
    """
    if trial.requests < MIN_REQUESTS or others.requests < MIN_REQUESTS:
        return ""
    return _compare("refused", trial.rejected, trial.requests, others.rejected, others.requests) or _compare(
        "late", trial.late, trial.requests, others.late, others.requests
    )


def _compare(name: str, trial_failures: int, trial_requests: int, other_failures: int, other_requests: int) -> str:
    trial_failures = min(trial_failures, trial_requests)
    other_failures = min(other_failures, other_requests)
    proportion = trial_failures / trial_requests
    baseline = other_failures / other_requests
    deviations = z_score(trial_failures, trial_requests, other_failures, other_requests)
    if proportion - baseline < MIN_DIFFERENCE or deviations < MIN_DEVIATIONS:
        return ""
    return (
        f"{name}: {proportion:.3f} of {trial_requests} requests on it, {baseline:.3f} of {other_requests} off it, "
        f"{deviations:.1f} deviations apart"
    )

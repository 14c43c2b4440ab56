"""When a trial is ended before its time: the gateways on it refuse or are late more often than those off it. Pure.

The test is the one of two proportions with a pooled share (normal approximation), one-sided. It is looked at up to
twice a second for as long as the trial lasts, so the bar is high: at `BAR` deviations a look at equal shares is wrong
3 times in 100,000, the 120 looks of a minute at most 4 times in 1,000. Requests of one gateway are not independent; a
difference must therefore also be one that matters, `MATTERS`, and each side must have `LEAST` requests.
"""

from typing import NamedTuple

LEAST, BAR, MATTERS = 60, 4.0, 0.02


class Side(NamedTuple):
    """What the gateways of one side counted since the trial began."""

    requests: int = 0
    refused: int = 0
    late: int = 0

    def plus(self, counts: tuple[int, int, int]) -> "Side":
        return Side(self.requests + counts[0], self.refused + counts[1], self.late + counts[2])


def deviations(bad_on: int, on: int, bad_off: int, off: int) -> float:
    """How far the share on it lies above the share off it, in standard deviations if both were the same."""
    pooled = (bad_on + bad_off) / (on + off)
    spread = (pooled * (1 - pooled) * (1 / on + 1 / off)) ** 0.5
    apart = bad_on / on - bad_off / off
    return apart / spread if spread else 0.0


def verdict(on: Side, off: Side) -> str:
    """Why the trial must end now; nothing where there is no reason, or not enough to tell."""
    if on.requests < LEAST or off.requests < LEAST:
        return ""
    for name, bad, other in (("refused", on.refused, off.refused), ("late", on.late, off.late)):
        bad, other = min(bad, on.requests), min(other, off.requests)
        share, base = bad / on.requests, other / off.requests
        far = deviations(bad, on.requests, other, off.requests)
        if share - base >= MATTERS and far >= BAR:
            return (
                f"{name}: {share:.3f} of {on.requests} requests on it, {base:.3f} of {off.requests} off it, "
                f"{far:.1f} deviations apart"
            )
    return ""

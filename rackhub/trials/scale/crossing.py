"""At which size a measurement reaches a limit."""

import math
from enum import Enum

import msgspec

from rackhub.trials.scale.measurement import Measurement


class Basis(Enum):
    """How the size was found."""

    MEASURED = "between two measured sizes"
    PROPORTION = "below the smallest measured size, in proportion to it"
    LINE = "beyond the largest measured size, by the line"


class Crossing(msgspec.Struct, frozen=True):
    size: float  # infinite where the line never reaches the limit
    basis: Basis


def crossing(measurement: Measurement, limit: float) -> Crossing:
    """The smallest size at which the value is `limit` or more."""
    sizes, values = measurement.sizes, measurement.values
    if values[0] >= limit:
        return Crossing(sizes[0] * limit / values[0], Basis.PROPORTION)
    for index in range(1, len(sizes)):
        if values[index] >= limit:
            return Crossing(_between(measurement, index, limit), Basis.MEASURED)
    if measurement.slope <= 0:
        return Crossing(math.inf, Basis.LINE)
    by_line = (limit - measurement.intercept) / measurement.slope
    return Crossing(max(by_line, float(sizes[-1])), Basis.LINE)


def _between(measurement: Measurement, index: int, limit: float) -> float:
    size, next_size = measurement.sizes[index - 1], measurement.sizes[index]
    value, next_value = measurement.values[index - 1], measurement.values[index]
    return size + (next_size - size) * (limit - value) / (next_value - value)

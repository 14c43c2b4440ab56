"""A straight line through measured points by least squares, with what it leaves unexplained."""

import math
from collections.abc import Sequence

import msgspec


class Line(msgspec.Struct, frozen=True):
    """`value = intercept + slope * size`. `residual` is the root mean square of what the line misses, divided by the
    root mean square of the values: 0 is a perfect line."""

    intercept: float
    slope: float
    residual: float

    def at(self, size: float) -> float:
        return self.intercept + self.slope * size


def root_mean_square(values: Sequence[float]) -> float:
    return math.sqrt(sum(value * value for value in values) / len(values))


def residual(line_at: Sequence[float], values: Sequence[float]) -> float:
    """Relative root mean square of the differences; 0 where all values are 0."""
    scale = root_mean_square(values)
    misses = [predicted - value for predicted, value in zip(line_at, values, strict=True)]
    return root_mean_square(misses) / scale if scale else 0.0


def fit_line(sizes: Sequence[float], values: Sequence[float]) -> Line:
    """Ordinary least squares. Raises `ValueError` for fewer than two different sizes."""
    if len(sizes) != len(values):
        raise ValueError(f"{len(sizes)} sizes, {len(values)} values")
    if len(set(sizes)) < 2:
        raise ValueError("a line needs two different sizes at least")
    mean_size = sum(sizes) / len(sizes)
    mean_value = sum(values) / len(values)
    spread = sum((size - mean_size) ** 2 for size in sizes)
    together = sum((size - mean_size) * (value - mean_value) for size, value in zip(sizes, values, strict=True))
    slope = together / spread
    intercept = mean_value - slope * mean_size
    return Line(intercept, slope, residual([intercept + slope * size for size in sizes], values))


def growth_exponent(sizes: Sequence[float], values: Sequence[float]) -> float | None:
    """The power of the size that the values grow by: 1 for a line through the origin, 2 for a square. None where a
    value or size is not above 0."""
    if min((*sizes, *values)) <= 0:
        return None
    return fit_line([math.log(size) for size in sizes], [math.log(value) for value in values]).slope

"""Lifeguard's local health multiplier: how far this gateway mistrusts itself before it accuses others. Pure."""


class LocalHealth:
    __slots__ = ("_maximum", "_score")

    def __init__(self, maximum: int):
        self._maximum, self._score = maximum, 0

    @property
    def factor(self) -> int:
        return 1 + self._score

    def record_success(self) -> None:
        self._score = max(0, self._score - 1)

    def record_failure(self, amount: int = 1) -> None:
        self._score = min(self._maximum - 1, self._score + amount)

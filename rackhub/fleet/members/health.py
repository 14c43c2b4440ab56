"""Lifeguard's local health multiplier: slows down probing while this gateway itself may be at fault. Pure."""


class LocalHealth:
    """The multiplier, from 1 (healthy) to `maximum`."""

    __slots__ = ("_maximum", "_score")

    def __init__(self, maximum: int):
        self._maximum, self._score = maximum, 0

    @property
    def factor(self) -> int:
        """The factor by which probe period and timeout are stretched."""
        return 1 + self._score

    def record_success(self) -> None:
        """Lower the multiplier by one after a direct ack."""
        self._score = max(0, self._score - 1)

    def record_failure(self, amount: int = 1) -> None:
        """Raise the multiplier after signs that this gateway is slow or cut off."""
        self._score = min(self._maximum - 1, self._score + amount)

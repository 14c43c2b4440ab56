"""Lifeguard's suspicion timeout, which shortens with each further accuser. Pure."""

import math


class Suspicion:
    """A suspicion that started at `started_at`; times are microseconds."""

    __slots__ = ("started_at", "minimum", "maximum", "expected_confirmations", "accusers")

    def __init__(self, started_at: int, minimum: int, maximum: int, expected_confirmations: int, accuser: str):
        self.started_at, self.minimum, self.maximum, self.expected_confirmations = (
            started_at,
            minimum,
            maximum,
            expected_confirmations,
        )
        self.accusers = {accuser}

    def confirm(self, accuser: str) -> bool:
        """Add an accuser. Return True if it is new and still counts, so that the claim is worth disseminating."""
        if not accuser or accuser in self.accusers or len(self.accusers) > self.expected_confirmations:
            return False
        self.accusers.add(accuser)
        return True

    def shorten_to_minimum(self) -> None:
        """Stop waiting for further accusers, because another member already holds this one gone."""
        self.expected_confirmations = 0

    @property
    def expires_at(self) -> int:
        """The time at which the member counts as gone."""
        if not self.expected_confirmations:
            return self.started_at + self.minimum
        progress = math.log(len(self.accusers)) / math.log(self.expected_confirmations + 1)
        return self.started_at + max(self.minimum, int(self.maximum - (self.maximum - self.minimum) * progress))

"""How long a suspicion stands: Lifeguard's time-out, which each further accuser shortens. Pure."""

import math


class Suspicion:
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
        """Whether that is one more accuser, whose word is worth spreading."""
        if not accuser or accuser in self.accusers or len(self.accusers) > self.expected_confirmations:
            return False
        self.accusers.add(accuser)
        return True

    def shorten_to_minimum(self) -> None:
        """Somebody holds it gone: no more accusers are waited for."""
        self.expected_confirmations = 0

    @property
    def expires_at(self) -> int:
        if not self.expected_confirmations:
            return self.started_at + self.minimum
        progress = math.log(len(self.accusers)) / math.log(self.expected_confirmations + 1)
        return self.started_at + max(self.minimum, int(self.maximum - (self.maximum - self.minimum) * progress))

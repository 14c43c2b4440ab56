"""What stands at one place of a run's process, as the process asks it: a voter, a relay or a hollow coordinator."""

from typing import Protocol

from rackhub.trials.scale.station import Traffic
from rackhub.trials.scale.trace import Trace


class Occupant(Protocol):
    """What only some have to tell has a default: nothing lags, nothing is kept, and there is no trace."""

    def start(self) -> None: ...

    def revision(self) -> int:
        """In force, or held."""

    def traffic(self) -> Traffic: ...

    def counts(self) -> dict[str, int]: ...

    def ready(self) -> bool:
        return True

    def lagging(self) -> int:
        return 0

    def content(self) -> dict[str, str]:
        return {}

    def status(self) -> str:
        return ""

    def traces(self) -> list[Trace]:
        return []

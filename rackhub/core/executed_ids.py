"""Port to the record of the request ids that may have been executed, which the processes of a coordinator share."""

from typing import Protocol


class ExecutedIds(Protocol):
    """Records ids before their requests are sent, so that no other process executes a request of the same id."""

    def is_claimed(self, id: str) -> bool:
        """Return whether another process may have executed a request of this id."""

    def claim(self, id: str) -> bool:
        """Record that a request of this id is about to be sent; return False if another process has claimed it."""

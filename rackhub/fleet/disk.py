"""Opens the disks of the fleet's components: each has its own embedded store in the state directory."""

from pathlib import Path
from typing import Any

from rackhub.core.component import ComponentStartError
from rackhub.fleet.register.disk import StoreDisk


def open_disk(reactor: Any, state: str, name: str) -> StoreDisk:
    """Open the store `name` in the directory `state`. Raises `ComponentStartError` if it can't be opened."""
    try:
        from rackhub.store import StoreError

        return StoreDisk(reactor, Path(state) / name)
    except ImportError as missing:
        raise ComponentStartError(
            f"[fleet] state: {missing}: install the extra 'store' (requirements-store.txt)"
        ) from None
    except (StoreError, OSError) as fault:
        raise ComponentStartError(f"[fleet] state: {fault}") from None

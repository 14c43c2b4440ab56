"""An embedded, crash-safe, multi-version key-value store in a directory of ordinary files.

This package's names are the whole interface. They are loaded on first use, so that reading the operator's file, which
imports `rackhub.store.options`, does not load the engine of a store that is disabled.
Design: docs/design/store.md. Use: docs/operators/store.md.
"""

from importlib import import_module
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from rackhub.store.batch import Batch, Condition
    from rackhub.store.engine import Commit, Snapshot, Store
    from rackhub.store.errors import (
        BadBatch,
        Compacted,
        Corrupt,
        FutureRevision,
        Locked,
        NewerFormat,
        NoLease,
        ReadOnly,
        StoreError,
    )
    from rackhub.store.options import Options
    from rackhub.store.records import Change, KeyValue

_MODULES = {
    "Batch": "batch",
    "Condition": "batch",
    "Commit": "engine",
    "Snapshot": "engine",
    "Store": "engine",
    "BadBatch": "errors",
    "Compacted": "errors",
    "Corrupt": "errors",
    "FutureRevision": "errors",
    "Locked": "errors",
    "NewerFormat": "errors",
    "NoLease": "errors",
    "ReadOnly": "errors",
    "StoreError": "errors",
    "Options": "options",
    "Change": "records",
    "KeyValue": "records",
}

__all__ = [
    "BadBatch",
    "Batch",
    "Change",
    "Commit",
    "Compacted",
    "Corrupt",
    "FutureRevision",
    "KeyValue",
    "Locked",
    "NewerFormat",
    "NoLease",
    "Options",
    "ReadOnly",
    "Snapshot",
    "Store",
    "StoreError",
    "Condition",
]


def __getattr__(name: str) -> Any:
    if name not in _MODULES:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(import_module(f"{__name__}.{_MODULES[name]}"), name)

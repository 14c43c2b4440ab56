"""The errors of the store. Each message is one line that names the file, key or number at fault."""


class StoreError(Exception):
    """Base class of all errors of the store."""


class Compacted(StoreError):
    """The history of the requested revision is gone; `compacted` is the latest compacted revision."""

    def __init__(self, requested: int, compacted: int):
        super().__init__(f"revision {requested} has been compacted: history starts after revision {compacted}")
        self.requested, self.compacted = requested, compacted


class FutureRevision(StoreError):
    """The requested revision is higher than the store's."""

    def __init__(self, requested: int, revision: int):
        super().__init__(f"revision {requested} is not there yet: the store is at revision {revision}")
        self.requested, self.revision = requested, revision


class Corrupt(StoreError):
    """A damaged file, in a way that no crash causes. `remedy` says what can be done; nothing was changed on disk."""

    def __init__(self, file: str, offset: int, reason: str, remedy: str = ""):
        remedy = remedy or "`rackhub store salvage` copies the intact records to a new directory"
        super().__init__(f"{file}: at byte {offset}: {reason}; {remedy}")
        self.file, self.offset, self.reason, self.remedy = file, offset, reason, remedy


class NewerFormat(StoreError):
    """A file has a later format than this program supports."""

    def __init__(self, file: str, found: int, known: int):
        super().__init__(
            f"{file}: has format {found}, but this program supports formats up to {known} only: use a newer rackhub"
        )
        self.file, self.found, self.known = file, found, known


class Locked(StoreError):
    """Another process has the directory locked."""

    def __init__(self, path: str):
        super().__init__(f"{path}: another process has this store open")


class ReadOnly(StoreError):
    """The disk has failed or is full: reads work, writes are rejected until `Store.retry` succeeds.

    `cause`: the system's error.
    """

    def __init__(self, cause: OSError):
        super().__init__(f"the store is read-only until its disk is repaired: {cause}")
        self.cause = cause


class BadBatch(StoreError):
    """An invalid batch, condition or lease; nothing was committed."""


class NoLease(StoreError):
    """The lease does not exist: it was never granted, was revoked, or has expired."""

    def __init__(self, lease: int):
        super().__init__(f"lease {lease} does not exist")
        self.lease = lease

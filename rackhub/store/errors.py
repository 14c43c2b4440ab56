"""What a store can say no with. Each message is one line that names the file, key or number at fault."""


class StoreError(Exception):
    """Any fault that a store reports."""


class Compacted(StoreError):
    """A revision was asked for whose history is gone; `compacted` is the last one that was compacted away."""

    def __init__(self, requested: int, compacted: int):
        super().__init__(f"revision {requested} is compacted away: history begins after revision {compacted}")
        self.requested, self.compacted = requested, compacted


class FutureRevision(StoreError):
    """A revision was asked for that the store has not reached."""

    def __init__(self, requested: int, revision: int):
        super().__init__(f"revision {requested} is not there yet: the store is at revision {revision}")
        self.requested, self.revision = requested, revision


class Corrupt(StoreError):
    """Bytes that no crash explains. `remedy` says what can be done; nothing has been changed on disk."""

    def __init__(self, file: str, offset: int, reason: str, remedy: str = ""):
        remedy = remedy or "`rackhub store salvage` writes what is provably whole to a new directory"
        super().__init__(f"{file}: at byte {offset}: {reason}; {remedy}")
        self.file, self.offset, self.reason, self.remedy = file, offset, reason, remedy


class NewerFormat(StoreError):
    """A file of a later format than this program reads."""

    def __init__(self, file: str, found: int, known: int):
        super().__init__(f"{file}: has format {found}; this program reads formats up to {known}: use a newer rackhub")
        self.file, self.found, self.known = file, found, known


class Locked(StoreError):
    """Another opener holds the directory."""

    def __init__(self, path: str):
        super().__init__(f"{path}: another process has this store open")


class ReadOnly(StoreError):
    """The disk failed or is full: reads go on, writes are refused until `Store.retry` succeeds. `cause` is the
    system's error."""

    def __init__(self, cause: OSError):
        super().__init__(f"the store is read-only: {cause}; mend the disk, then retry")
        self.cause = cause


class BadBatch(StoreError):
    """A batch that can't be committed as it stands; nothing of it is."""


class NoLease(StoreError):
    """A lease that is not there: never granted, revoked, or run out."""

    def __init__(self, lease: int):
        super().__init__(f"lease {lease} is not there")
        self.lease = lease

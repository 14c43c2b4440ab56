"""What the rule book is made of, and what gateways say to one another about it."""

import hashlib
from typing import Any, Literal

import msgspec

from rackhub.fleet.register.messages import MAX_VALUE_BYTES

CONTENT = 98_304  # most bytes of one version's content
BOOK = MAX_VALUE_BYTES - 16_384  # most bytes of all kept versions: two whole contents and more fit
KEPT = 64  # newest versions kept, where their size allows
WORDS = 500  # most letters of an author, a reason, an id
FORMAT = 1
KIND = "rules"  # of mail and of records


class Trial(msgspec.Struct, frozen=True):
    """A version that holds for a while, at the gateways of `first`; elsewhere and afterwards the one before it does."""

    span_ms: int
    first: tuple[str, ...]


class Version(msgspec.Struct, frozen=True, omit_defaults=True):
    """One version. `told`: Unix seconds at the editor's gateway, for the reader alone. `of`: whose content it has."""

    number: int
    content: dict[str, Any]
    author: str
    reason: str
    told: int
    gateway: str
    id: str
    kind: Literal["edit", "undo", "confirm", "lapse"] = "edit"
    of: int = 0
    trial: Trial | None = None

    @property
    def parent(self) -> int:
        """The version that it builds on."""
        return self.number - 1

    def digest(self) -> str:
        """Of all that the number stands for."""
        return hashlib.sha256(msgspec.msgpack.encode(self, order="deterministic")).hexdigest()[:16]


class Book(msgspec.Struct, frozen=True):
    """The kept versions, oldest first, without a gap. `format`: of the program that wrote it; an earlier one reads it,
    and would lose what it does not know if it wrote it."""

    versions: tuple[Version, ...] = ()
    format: int = FORMAT

    @property
    def newest(self) -> int:
        return self.versions[-1].number if self.versions else 0

    def find(self, number: int) -> Version | None:
        at = number - self.versions[0].number if self.versions else -1
        return self.versions[at] if 0 <= at < len(self.versions) else None


class Ask(msgspec.Struct, frozen=True):
    """What an editor wants. `on`: the version it builds on; `parts`: those that change, None takes one out; `to`: whose
    content an undo brings back, -1: of the one before."""

    kind: Literal["edit", "undo", "confirm", "lapse"]
    on: int
    author: str
    reason: str
    id: str
    told: int
    gateway: str
    parts: dict[str, Any] = {}
    to: int = -1
    trial: Trial | None = None


class Refused(Exception):
    """The book stays as it is; the text says why in words for the editor."""


# ---- mail


class Have(msgspec.Struct, frozen=True, tag="have"):
    """There is a version of this number here."""

    newest: int


class Fetch(msgspec.Struct, frozen=True, tag="fetch"):
    """Say what came after `known`. `mark` comes back with the answer: its asker knows when it asked."""

    known: int
    mark: int


class Told(msgspec.Struct, frozen=True, tag="told"):
    """`age_us`: of the newest one's trial, by the sender's clock; -1: not known there, so it is over."""

    mark: int
    versions: tuple[Version, ...]
    age_us: int = -1


class Check(msgspec.Struct, frozen=True, tag="check"):
    """Would this gateway take that content?"""

    mark: int
    content: dict[str, Any]


class Checked(msgspec.Struct, frozen=True, tag="checked"):
    mark: int
    fault: str  # none where it would


class Holding(msgspec.Struct, frozen=True, tag="holding"):
    """To the gateway whose editor made that version, who may be waiting: it is held here. The board says so later."""

    version: int


Mail = Have | Fetch | Told | Check | Checked | Holding


class Post(msgspec.Struct, frozen=True, array_like=True):
    """A gateway's record on the board. `on`: it holds `version` as one of its trial's first. `why`: it can't take a
    newer one. `counts`: requests, refused, late under `version` so far, while that is on trial."""

    version: int
    on: bool
    newest: int
    digest: str
    why: str = ""
    counts: tuple[int, int, int] = (0, 0, 0)
    keeper: str = ""  # none: it is not one; else "votes" or why it does not


encode = msgspec.msgpack.Encoder().encode

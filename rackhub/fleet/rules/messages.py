"""The types of the versioned rule set, and the messages that gateways exchange about it.

Where the name of an encoded field differs from the attribute, the encoded name is the one on the wire and on disk.
"""

import hashlib
from typing import Any, Literal

import msgspec

from rackhub.fleet.register.messages import MAX_VALUE_BYTES

MAX_CONTENT_BYTES = 98_304  # of one version
MAX_RULE_SET_BYTES = MAX_VALUE_BYTES - 16_384  # of all retained versions: two contents of the maximum size fit
MAX_RETAINED_VERSIONS = 64
MAX_TEXT_LENGTH = 500  # characters of an author, a reason, an id
FORMAT_VERSION = 1  # of the encoded rule set
MESSAGE_KIND = "rules"  # of messages between gateways and of gossiped records
UNKNOWN_AGE = -1  # in place of a trial's age in microseconds

ChangeKind = Literal["edit", "undo", "confirm", "lapse"]
RequestCounts = tuple[int, int, int]  # requests, rejected, late


class Trial(msgspec.Struct, frozen=True):
    """Limits a version to `gateways` for `duration_ms`; elsewhere and afterwards its parent's content applies."""

    duration_ms: int = msgspec.field(name="span_ms")
    gateways: tuple[str, ...] = msgspec.field(name="first")


class Version(msgspec.Struct, frozen=True, omit_defaults=True):
    """One version of the rules.

    `created_at` is in Unix seconds by the clock of the editor's gateway, for display only. `source_version` is the
    version whose content an undo, a confirmation or the end of a trial starts from.
    """

    number: int
    content: dict[str, Any]
    author: str
    reason: str
    created_at: int = msgspec.field(name="told")
    gateway: str
    id: str
    kind: ChangeKind = "edit"
    source_version: int = msgspec.field(name="of", default=0)
    trial: Trial | None = None

    @property
    def parent(self) -> int:
        """The number of the version that this one builds on."""
        return self.number - 1

    def digest(self) -> str:
        """A hash of all fields as encoded, to compare versions of one number between gateways."""
        return hashlib.sha256(msgspec.msgpack.encode(self, order="deterministic")).hexdigest()[:16]


class RuleSet(msgspec.Struct, frozen=True):
    """The retained versions, oldest first, with consecutive numbers.

    `format` is that of the program that wrote it. An earlier program can read a later format but must not write it,
    as it would drop the fields that it doesn't know.
    """

    versions: tuple[Version, ...] = ()
    format: int = FORMAT_VERSION

    @property
    def newest(self) -> Version | None:
        """The newest version; None before the first one."""
        return self.versions[-1] if self.versions else None

    @property
    def newest_number(self) -> int:
        """The number of the newest version; 0 before the first one."""
        return self.versions[-1].number if self.versions else 0

    def find(self, number: int) -> Version | None:
        """Return the version of that number; None where it is not retained."""
        index = number - self.versions[0].number if self.versions else -1
        return self.versions[index] if 0 <= index < len(self.versions) else None


class EditRequest(msgspec.Struct, frozen=True):
    """A change that an editor, or the monitor of a trial, requests.

    `base_version` is the newest version that the editor knew. `changes` are sections by name, None removes one.
    `target_version` is the version whose content an undo restores; -1: the newest earlier one that differs.
    `created_at` is in Unix seconds.
    """

    kind: ChangeKind
    base_version: int
    author: str
    reason: str
    id: str
    created_at: int
    gateway: str
    changes: dict[str, Any] = {}
    target_version: int = -1
    trial: Trial | None = None


class ChangeRejectedError(Exception):
    """The rule set stays as it is; the text tells the editor why."""


class NewestVersion(msgspec.Struct, frozen=True, tag="have"):
    """Announces the number of the newest version that the sender has."""

    newest: int


class FetchVersions(msgspec.Struct, frozen=True, tag="fetch"):
    """Requests all versions after `known`. `request_id` is returned with the answer."""

    known: int
    request_id: int = msgspec.field(name="mark")


class VersionsSent(msgspec.Struct, frozen=True, tag="told"):
    """Answers `FetchVersions`.

    `trial_age_us` is the age of the newest version's trial by the sender's clock, in microseconds; `UNKNOWN_AGE`: the
    sender doesn't know it, so the trial counts as over.
    """

    request_id: int = msgspec.field(name="mark")
    versions: tuple[Version, ...]
    trial_age_us: int = msgspec.field(name="age_us", default=UNKNOWN_AGE)


class CheckRequest(msgspec.Struct, frozen=True, tag="check"):
    """Asks whether the receiver could apply a content."""

    request_id: int = msgspec.field(name="mark")
    content: dict[str, Any]


class CheckResult(msgspec.Struct, frozen=True, tag="checked"):
    """Answers `CheckRequest`; `fault` is empty where the content can be applied."""

    request_id: int = msgspec.field(name="mark")
    fault: str


class VersionApplied(msgspec.Struct, frozen=True, tag="holding"):
    """Sent to the gateway that made a version, whose editor may be waiting; gossip reports the same later."""

    version: int


Message = NewestVersion | FetchVersions | VersionsSent | CheckRequest | CheckResult | VersionApplied


class GossipedStatus(msgspec.Struct, frozen=True, array_like=True):
    """What a gateway publishes about its rules.

    `on_trial`: it applies `version` as one of its trial's gateways. `fault`: why it can't apply a newer one. `counts`:
    under `version` so far, while that is on trial. `acceptor_status`: empty where the gateway is no acceptor, "votes"
    where it votes, else why it doesn't.
    """

    version: int
    on_trial: bool
    newest: int
    digest: str
    fault: str = ""
    counts: RequestCounts = (0, 0, 0)
    acceptor_status: str = ""


decode = msgspec.msgpack.Decoder(Message).decode
encode = msgspec.msgpack.Encoder().encode

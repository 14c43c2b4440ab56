"""The types of the versioned rule set, and the messages that gateways exchange about it.

`msgspec.field(name=...)` gives the name of a field on the wire and on disk where it differs from the attribute.
"""

import hashlib
from typing import Any, Literal

import msgspec

from rackhub.fleet.register.messages import MAX_VALUE_BYTES

MAX_CONTENT_BYTES = 98_304  # encoded size of one version's content
MAX_RULE_SET_BYTES = MAX_VALUE_BYTES - 16_384  # size of all retained versions; fits two contents of the maximum size
MAX_RETAINED_VERSIONS = 64
MAX_TEXT_LENGTH = 500  # characters of an author, a reason or an id
FORMAT_VERSION = 1  # format of the encoded rule set
MESSAGE_KIND = "rules"  # kind of the messages between gateways and of the gossiped records
UNKNOWN_AGE = -1  # stands for an unknown age of a trial; known ages are in microseconds

ChangeKind = Literal["edit", "undo", "confirm", "lapse"]
RequestCounts = tuple[int, int, int]  # numbers of requests, of rejected requests, and of late or failed requests


class Trial(msgspec.Struct, frozen=True):
    """Limits a version to some gateways for `duration_ms`.

    At all other gateways, and after the trial, the content of the version's parent applies.
    """

    duration_ms: int = msgspec.field(name="span_ms")
    gateways: tuple[str, ...] = msgspec.field(name="first")


class Version(msgspec.Struct, frozen=True, omit_defaults=True):
    """One version of the rules.

    `created_at` is in Unix seconds by the clock of the editor's gateway, for display only. `source_version` is the
    version from which an undo, a confirmation or the end of a trial takes its content; 0 for an edit.
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
        """The number of the version that this version is based on."""
        return self.number - 1

    def digest(self) -> str:
        """Return a hash of all encoded fields, to compare a version between gateways."""
        return hashlib.sha256(msgspec.msgpack.encode(self, order="deterministic")).hexdigest()[:16]


class RuleSet(msgspec.Struct, frozen=True):
    """The retained versions, oldest first, with consecutive numbers.

    `format` is the format of the program that wrote the rule set. An older program can read a newer format but must not
    write it, because it would drop fields that it doesn't know.
    """

    versions: tuple[Version, ...] = ()
    format: int = FORMAT_VERSION

    @property
    def newest(self) -> Version | None:
        """The newest version; None if there is none yet."""
        return self.versions[-1] if self.versions else None

    @property
    def newest_number(self) -> int:
        """The number of the newest version; 0 if there is none yet."""
        return self.versions[-1].number if self.versions else 0

    def find(self, number: int) -> Version | None:
        """Return the version with the given number; None if it is not retained."""
        index = number - self.versions[0].number if self.versions else -1
        return self.versions[index] if 0 <= index < len(self.versions) else None


class EditRequest(msgspec.Struct, frozen=True):
    """A change that an editor or the monitor of a trial requests.

    `base_version` is the newest version that the editor knew. `changes` maps names of sections to their new contents;
    None removes a section. `target_version` is the version whose content an undo restores; -1 stands for the newest
    earlier version with a different content. `created_at` is in Unix seconds.
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
    """A change was rejected and the rule set is unchanged; the message tells the editor why."""


class NewestVersion(msgspec.Struct, frozen=True, tag="have"):
    """Announces the number of the sender's newest version."""

    newest: int


class FetchVersions(msgspec.Struct, frozen=True, tag="fetch"):
    """Requests all versions after `known`. The answer carries the same `request_id`."""

    known: int
    request_id: int = msgspec.field(name="mark")


class VersionsSent(msgspec.Struct, frozen=True, tag="told"):
    """Answers `FetchVersions`.

    `trial_age_us` is the age of the newest version's trial by the sender's clock, in microseconds. `UNKNOWN_AGE`: the
    sender doesn't know the age, so the receiver treats the trial as over.
    """

    request_id: int = msgspec.field(name="mark")
    versions: tuple[Version, ...]
    trial_age_us: int = msgspec.field(name="age_us", default=UNKNOWN_AGE)


class CheckRequest(msgspec.Struct, frozen=True, tag="check"):
    """Requests a check whether the receiver can apply `content`."""

    request_id: int = msgspec.field(name="mark")
    content: dict[str, Any]


class CheckResult(msgspec.Struct, frozen=True, tag="checked"):
    """Answers `CheckRequest`; `fault` is empty if the content can be applied."""

    request_id: int = msgspec.field(name="mark")
    fault: str


class VersionApplied(msgspec.Struct, frozen=True, tag="holding"):
    """Reports to the gateway of a version's editor that the sender has applied the version.

    The editor may be waiting for this report; gossip carries the same information, but later.
    """

    version: int


Message = NewestVersion | FetchVersions | VersionsSent | CheckRequest | CheckResult | VersionApplied


class GossipedStatus(msgspec.Struct, frozen=True, array_like=True):
    """The status of a gateway's rules as published by gossip.

    `version`: the version that the gateway applies. `on_trial`: the gateway is one of those on which the version is on
    trial. `newest`: the newest version that it knows. `digest`: that of `version`. `fault`: why the gateway can't apply
    a newer version. `counts`: the requests since the gateway began to apply `version`, while a trial of it is open.
    `acceptor_status`: empty if the gateway is no acceptor, "votes" if it votes, else the reason why it doesn't.
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

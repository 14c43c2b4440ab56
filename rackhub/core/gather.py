"""The port between fronts and gathers: who takes requests that go to several sites, and the status of their answers."""

from collections.abc import Sequence
from typing import Literal, Protocol

import msgspec

from rackhub.core.request import Query

MissingReason = Literal["late", "cut", "refused", "failed", "spared"]


class SiteStatus(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """One site of a gathered answer: its rows are in it, fresh or `age_ms` old, or are `missing` for a reason."""

    site: str
    age_ms: int = 0  # since the rows were read at that site, by the gathering gateway's own clock
    missing: MissingReason | None = None


class GatherStatus(msgspec.Struct, frozen=True, kw_only=True):
    """What an answer has beside its gathered rows, in the order of the sites."""

    complete: bool = msgspec.field(name="whole")  # the rows of every site are in it, and fresh
    sites: Sequence[SiteStatus]


class GatherPort(Protocol):
    """Asked by the core about each request that is admitted.

    It answers by `Coordinator.complete_gathered`, and submits subrequests: `Query.is_subrequest` set, `Query.zones`
    where they may run, and a `Reply` of its own.
    """

    def accept(self, query: Query) -> bool:
        """Whether a rule gathers the request: then the port owns it, and admits or rejects it as one."""

    def client_disconnected(self, query: Query) -> None:
        """Cancel the subrequests: the client is gone, or the core has answered at the deadline."""

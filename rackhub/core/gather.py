"""Port to the gather component, which answers a request from several sites, and the status of such answers."""

from collections.abc import Sequence
from typing import Literal, Protocol

import msgspec

from rackhub.core.request import Query

MissingReason = Literal["late", "cut", "refused", "failed", "spared"]


class SiteStatus(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """One site of a gathered answer: its rows are included, fresh or `age_ms` old, or `missing` for a reason."""

    site: str
    age_ms: int = 0  # time since the rows were read at that site, by the gathering gateway's clock
    missing: MissingReason | None = None


class GatherStatus(msgspec.Struct, frozen=True, kw_only=True):
    """Status that accompanies the gathered rows of an answer."""

    complete: bool = msgspec.field(name="whole")  # fresh rows of every site are included
    sites: Sequence[SiteStatus]  # ordered as the sites of the rule


class GatherPort(Protocol):
    """Called by the core for each admitted request.

    It completes requests through `Coordinator.complete_gathered`. Its subrequests have `Query.is_subrequest` set, the
    zones in which they may run in `Query.zones`, and a `Reply` of the port.
    """

    def accept(self, query: Query) -> bool:
        """Return whether a rule gathers the request; the port is then responsible for completing it."""

    def client_disconnected(self, query: Query) -> None:
        """Cancel the subrequests: the client has disconnected, or the core has answered at the deadline."""

"""The port between fronts and gathers: what a front asks of whoever takes its requests, and what it may be told."""

from collections.abc import Sequence
from typing import Literal, Protocol

import msgspec

from rackhub.core.request import Query

Missing = Literal["late", "cut", "refused", "failed", "spared"]


class SiteStatus(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """One site of a gathered answer: its rows are in it, fresh or `age_ms` old, or are `missing` for a reason."""

    site: str
    age_ms: int = 0  # since the rows were read at that site, by the gathering gateway's own clock
    missing: Missing | None = None


class GatherStatus(msgspec.Struct, frozen=True, kw_only=True):
    """What stands beside the rows of a gathered answer, in the order of the sites."""

    complete: bool = msgspec.field(name="whole")  # every site is in and fresh
    sites: Sequence[SiteStatus]


class GatherPort(Protocol):
    """Asked by the core for each request that is taken on. It answers by `Coordinator.gathered`, and submits parts as
    requests of its own: `Query.part` set, `Query.zones` where they may run, and a `Reply` of its own."""

    def accept(self, query: Query) -> bool:
        """Whether a rule gathers the request: then it is the caller's no more. Admitted or refused as a whole."""

    def client_disconnected(self, query: Query) -> None:
        """Its client is gone, or the core's backstop has answered it: its parts are called off."""

"""The view of the rules that `queries`, `propagation` and `service` use to answer calls on the control port."""

from typing import Protocol

from rackhub.fleet.ports import Fleet, Name
from rackhub.fleet.rules.active_version import ActiveVersion, VersionTracker
from rackhub.fleet.rules.changes import ChangeProposer
from rackhub.fleet.rules.checks import FleetChecks
from rackhub.fleet.rules.trials import TrialMonitor


class RulesView(Protocol):
    """The rules of this gateway.

    `reported_versions`: the version that each other gateway has reported directly to this one as applied; gossip
    carries the same information a little later.
    """

    fleet: Fleet
    gateway: Name
    acceptors: tuple[Name, ...]
    tracker: VersionTracker
    checks: FleetChecks
    changes: ChangeProposer
    trials: TrialMonitor
    reported_versions: dict[Name, int]

    @property
    def active(self) -> ActiveVersion:
        """The version and the content that apply to new requests at this gateway."""

    def damage_report(self) -> str:
        """Return which data of this gateway's disk could not be read; empty if there is no damage."""

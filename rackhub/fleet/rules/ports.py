"""What the control port's calls need of the rules: used by `queries`, `propagation` and `service`."""

from typing import Protocol

from rackhub.fleet.ports import Fleet, Name
from rackhub.fleet.rules.active_version import ActiveVersion, VersionTracker
from rackhub.fleet.rules.changes import ChangeCoordinator
from rackhub.fleet.rules.checks import FleetChecks
from rackhub.fleet.rules.trials import TrialMonitor


class RulesView(Protocol):
    """The rules as one gateway has them.

    `confirmed_versions`: what other gateways reported to this one directly as applied; gossip reports it a little
    later.
    """

    fleet: Fleet
    gateway: Name
    acceptors: tuple[Name, ...]
    tracker: VersionTracker
    checks: FleetChecks
    changes: ChangeCoordinator
    trials: TrialMonitor
    confirmed_versions: dict[Name, int]

    @property
    def active(self) -> ActiveVersion:
        """What requests meet at this gateway."""

    def damage_report(self) -> str:
        """Return what of this gateway's disk could not be read; empty where all could."""

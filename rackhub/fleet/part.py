"""The fleet component of the daemon: membership, gossip state, control port, overload and the versioned rules."""

import logging
from collections import Counter
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import TYPE_CHECKING, Any

import msgspec

from rackhub import components
from rackhub.address import parse_ipv4_address
from rackhub.config import fleet_settings
from rackhub.core.component import Component, ComponentContext, ComponentStartError
from rackhub.core.source import EndpointSnapshot
from rackhub.fleet.control import fleet_status
from rackhub.fleet.control.port import ControlPort
from rackhub.fleet.disk import open_disk
from rackhub.fleet.members.part import Membership
from rackhub.fleet.members.subset import MembersWithout
from rackhub.fleet.overload.component import Overload
from rackhub.fleet.overload.fault_barrier import FaultBarrier
from rackhub.fleet.overload.health_checker import HealthChecker
from rackhub.fleet.overload.shed import SheddingPolicy
from rackhub.fleet.ports import Fleet, RuleSection
from rackhub.fleet.register.disk import StoreDisk
from rackhub.fleet.roles import RELAY, VOTER, shares_overload
from rackhub.fleet.rules.timings import TimingsSection
from rackhub.fleet.rules.versioned_rules import VersionedRules
from rackhub.fleet.settings import FleetSettings
from rackhub.timings.table import Table

if TYPE_CHECKING:
    from rackhub.fleet.distribution.part import Distribution

log = logging.getLogger(__name__)


class FleetComponent(Component):
    """Creates, starts and stops what `[fleet]` turns on; `fleet` has the ports that other components use."""

    def __init__(self, context: ComponentContext):
        super().__init__(context)
        self.settings: FleetSettings = fleet_settings(
            context.operator.fleet or {}, context.source.settings, context.config.name
        )
        self.counts = Counter[str]()
        try:
            if self.settings.state:
                Path(self.settings.state).mkdir(parents=True, exist_ok=True)
            zone_settings = msgspec.structs.replace(self.settings, cluster=self.settings.zone_cluster)
            self.membership = Membership(
                context.reactor,
                zone_settings,
                context.config.listen,
                context.clock,
                context.config.seed,
                self._add_count,
            )
        except OSError as error:
            raise ComponentStartError(f"[fleet] state: {error}") from None
        self.fleet = self.membership.fleet()
        self.control = (
            ControlPort(context.reactor, parse_ipv4_address(self.settings.control, "control"), self._add_count)
            if self.settings.control
            else None
        )
        self.health_checker = HealthChecker(context.reactor, context.clock, context.config.limits)
        self.overload = (
            Overload(
                self._overload_fleet(),
                context.source.settings,
                context.config.limits,
                context.core,
                self.health_checker,
                self.settings,
            )
            if shares_overload(self.settings)
            else None
        )
        self.disk: StoreDisk | None = None
        self.distribution = self._create_distribution() if self.settings.role else None
        self.versioned_rules = (
            self._create_versioned_rules() if self.settings.keepers and not self.settings.role else None
        )
        self.timings = TimingsSection(
            lambda: context.source.settings, lambda: context.operator.timings, self._apply_timings
        )
        for name, section in self._rule_sections().items():
            if self.rules is not None:
                self.rules.add_section(name, section)

    def _overload_fleet(self) -> Fleet:
        """Return the fleet without voters and relays: they are members of the zone, but carry no load."""
        nodes = frozenset(node.name for node in self.settings.node)
        if not nodes:
            return self.fleet
        return self.fleet._replace(members=MembersWithout(self.fleet.members, nodes))

    @property
    def rules(self) -> "VersionedRules | Distribution | None":
        """The source of the rule set: the register of a fleet without relays, or distribution; None if it is off."""
        return self.versioned_rules if self.distribution is None else self.distribution

    def _rule_sections(self) -> dict[str, RuleSection]:
        """Return the sections that this component applies or, as a voter, checks; the gather component adds its own."""
        sections: dict[str, RuleSection] = {"timings": self.timings}
        if self.overload is not None:
            sections["shed"] = self.overload.shed
        elif self.settings.role == VOTER:
            sections["shed"] = SheddingPolicy(self.context.source.settings)
        return sections

    def _create_distribution(self) -> "Distribution":
        from rackhub.fleet.distribution.part import Distribution

        if self.settings.role != RELAY:
            self.disk = open_disk(self.context.reactor, self.settings.state, "distribution")
        try:
            return Distribution(self.context.reactor, self.fleet, self.settings, self.control, self.disk)
        except ValueError as error:
            raise ComponentStartError(f"[fleet] state: {error}") from None

    def _create_versioned_rules(self) -> VersionedRules:
        """Create the rules of a fleet without relays; with a state directory they are kept on a store of their own."""
        if self.settings.state:
            self.disk = open_disk(self.context.reactor, self.settings.state, "register")
        try:
            return VersionedRules(self.fleet, self.settings, self.control, self.disk, self._request_counts)
        except ValueError as error:
            raise ComponentStartError(f"[fleet] state: {error}") from None

    def _request_counts(self) -> tuple[int, int, int]:
        """Return the completed, the rejected, and the failed or late requests of all classes since the start."""
        sums = [sum(counts) for counts in zip(*self.context.core.counts_by_class.values(), strict=True)]
        return sum(sums[:3]), sums[1], sums[2]

    def _apply_timings(self, table: Table) -> None:
        """Apply the routes of a rule set. Without routes, a timings component that is not loaded stays unloaded."""
        timings_component: Any = self.context.components.get("timings")
        if timings_component is None and table.routes:
            timings_component = self.context.components["timings"] = components.load("timings", self.context)
        if timings_component is not None:
            timings_component.reload_override = self.timings.reload_file
            timings_component.policy.reload(table)

    def _add_count(self, name: str, by: int = 1) -> None:
        self.counts[name] += by

    def begin(self, snapshot: EndpointSnapshot) -> EndpointSnapshot:
        """Attach the overload component to the core, behind a barrier for its faults."""
        if self.overload is not None:
            self.context.core.fleet_coordinator = FaultBarrier(self.overload, self._add_count)
        return snapshot

    def open(self) -> None:
        """Join the fleet and open the control port. Raises `ComponentStartError` if an address can't be bound."""
        try:
            self.membership.start()
            if self.control is not None:
                fleet_status.register_command(self.control, self.membership)
                self.control.on(
                    "figures",
                    lambda request, answer: answer(
                        {
                            "figures": {
                                name: value
                                for component in self.context.components.values()
                                for name, value in component.metrics().items()
                            }
                        }
                    ),
                )
                self.control.start()
        except OSError as error:
            raise ComponentStartError(f"[fleet] {error}") from None
        if self.overload is not None:
            self.overload.start()
            self.overload.endpoints_changed(self.context.source.initial_snapshot)
        self.health_checker.endpoints_changed(self.context.source.initial_snapshot)
        if self.rules is not None:
            timings_component: Any = self.context.components.get("timings")
            if timings_component is not None:
                timings_component.reload_override = self.timings.reload_file
            self._start_rules()
        log.info("member %s of the fleet %s at %s", self.settings.name, self.settings.cluster, self.settings.listen)

    def _start_rules(self) -> None:
        try:
            if self.rules is not None:
                self.rules.start()
        except OSError as error:
            raise ComponentStartError(f"[fleet] {error.strerror or error}") from None

    def endpoints_changed(self, snapshot: EndpointSnapshot) -> None:
        self.health_checker.endpoints_changed(snapshot)
        if self.overload is not None:
            self.overload.endpoints_changed(snapshot)

    def drain(self) -> None:
        """Announce the end of this process to the other members."""
        if self.overload is not None:
            self.overload.drain()
        if self.versioned_rules is not None:
            self.versioned_rules.drain()
        # A process that replaces this one waits for the addresses and the disk, so they are released now.
        if self.distribution is not None:
            self.distribution.stop()
            self._close_disk()
        self.membership.leave().addCallback(lambda _: self.membership.stop())

    def stop(self) -> None:
        if self.rules is not None:
            self.rules.stop()
        self._close_disk()

    def _close_disk(self) -> None:
        disk, self.disk = self.disk, None
        if disk is not None:
            disk.close()

    def metrics(self) -> Mapping[str, float]:
        values: dict[str, float] = dict(self.membership.metrics()) | {name: float(n) for name, n in self.counts.items()}
        if self.overload is not None:
            values |= self.overload.metrics()
        if self.rules is not None:
            values |= self.rules.metrics()
        return values

    def summary_lines(self) -> Sequence[str]:
        nonzero: Any = {name: value for name, value in sorted(self.metrics().items()) if value}
        return ["fleet: " + (" ".join(f"{name}={value:g}" for name, value in nonzero.items()) or "nothing")]


def create_component(context: ComponentContext) -> FleetComponent:
    """Create the component."""
    return FleetComponent(context)

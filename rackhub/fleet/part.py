"""The fleet as a part of the daemon: members and board, the control port, and on them overload and the rule book."""

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
from rackhub.fleet.overload.prober import Prober
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
    def __init__(self, host: ComponentContext):
        super().__init__(host)
        self.told: FleetSettings = fleet_settings(host.operator.fleet or {}, host.source.settings, host.config.name)
        self.counts = Counter[str]()
        try:
            if self.told.state:
                Path(self.told.state).mkdir(parents=True, exist_ok=True)
            zone_settings = msgspec.structs.replace(self.told, cluster=self.told.zone_cluster)
            self.membership = Membership(
                host.reactor, zone_settings, host.config.listen, host.clock, host.config.seed, self._tally
            )
        except OSError as fault:
            raise ComponentStartError(f"[fleet] state: {fault}") from None
        self.fleet = self.membership.fleet()
        self.control = (
            ControlPort(host.reactor, parse_ipv4_address(self.told.control, "control"), self._tally)
            if self.told.control
            else None
        )
        self.prober = Prober(host.reactor, host.clock, host.config.limits)
        self.overload = (
            Overload(self._serving(), host.source.settings, host.config.limits, host.core, self.prober, self.told)
            if shares_overload(self.told)
            else None
        )
        self.disk: StoreDisk | None = None
        self.distribution = self._distribution() if self.told.role else None
        self.book = self._book() if self.told.keepers and not self.told.role else None
        self.timings = TimingsSection(lambda: host.source.settings, lambda: host.operator.timings, self._time)
        for name, part in self._rule_parts().items():
            if self.rules is not None:
                self.rules.add_section(name, part)

    def _serving(self) -> Fleet:
        """The fleet as overload counts it: voters and relays are members of a zone, and take no part of its load."""
        nodes = frozenset(node.name for node in self.told.node)
        if not nodes:
            return self.fleet
        return self.fleet._replace(members=MembersWithout(self.fleet.members, nodes))

    @property
    def rules(self) -> "VersionedRules | Distribution | None":
        """Whoever holds the rule book here: that of a fleet without relays, or what distribution brings."""
        return self.book if self.distribution is None else self.distribution

    def _rule_parts(self) -> dict[str, RuleSection]:
        """Those that this part of the daemon has; gathers add theirs. A voter checks the order of shedding, too."""
        parts: dict[str, RuleSection] = {"timings": self.timings}
        if self.overload is not None:
            parts["shed"] = self.overload.shed
        elif self.told.role == VOTER:
            parts["shed"] = SheddingPolicy(self.context.source.settings)
        return parts

    def _distribution(self) -> "Distribution":
        from rackhub.fleet.distribution.part import Distribution

        if self.told.role != RELAY:
            self.disk = open_disk(self.context.reactor, self.told.state, "distribution")
        try:
            return Distribution(self.context.reactor, self.fleet, self.told, self.control, self.disk)
        except ValueError as bad:
            raise ComponentStartError(f"[fleet] state: {bad}") from None

    def _book(self) -> VersionedRules:
        """The rule book of a fleet without relays, kept on a store of its own where there is a directory for it."""
        if self.told.state:
            self.disk = open_disk(self.context.reactor, self.told.state, "register")
        try:
            return VersionedRules(self.fleet, self.told, self.control, self.disk, self._counts)
        except ValueError as bad:
            raise ComponentStartError(f"[fleet] state: {bad}") from None

    def _counts(self) -> tuple[int, int, int]:
        """Requests over, refused, and failed or over time, of all classes since the start."""
        sums = [sum(counts) for counts in zip(*self.context.core.counts_by_class.values(), strict=True)]
        return sum(sums[:3]), sums[1], sums[2]

    def _time(self, table: Table) -> None:
        """Other routes hold; where none ever did and there are none, nothing is loaded for them."""
        found: Any = self.context.components.get("timings")
        if found is None and table.routes:
            found = self.context.components["timings"] = components.load("timings", self.context)
        if found is not None:
            found.reload_override = self.timings.reload_file
            found.policy.reload(table)

    def _tally(self, name: str, by: int = 1) -> None:
        self.counts[name] += by

    def begin(self, listing: EndpointSnapshot) -> EndpointSnapshot:
        if self.overload is not None:
            self.context.core.fleet_coordinator = FaultBarrier(self.overload, self._tally)
        return listing

    def open(self) -> None:
        try:
            self.membership.start()
            if self.control is not None:
                fleet_status.register_command(self.control, self.membership)
                self.control.on(
                    "figures",
                    lambda words, answer: answer(
                        {
                            "figures": {
                                name: value
                                for part in self.context.components.values()
                                for name, value in part.metrics().items()
                            }
                        }
                    ),
                )
                self.control.start()
        except OSError as fault:
            raise ComponentStartError(f"[fleet] {fault}") from None
        if self.overload is not None:
            self.overload.start()
            self.overload.endpoints_changed(self.context.source.initial_snapshot)
        self.prober.listed(self.context.source.initial_snapshot)
        if self.rules is not None:
            timed: Any = self.context.components.get("timings")
            if timed is not None:
                timed.reload_override = self.timings.reload_file
            self._start_rules()
        log.info("member %s of the fleet %s at %s", self.told.name, self.told.cluster, self.told.listen)

    def _start_rules(self) -> None:
        try:
            if self.rules is not None:
                self.rules.start()
        except OSError as fault:
            raise ComponentStartError(f"[fleet] {fault.strerror or fault}") from None

    def endpoints_changed(self, listing: EndpointSnapshot) -> None:
        self.prober.listed(listing)
        if self.overload is not None:
            self.overload.endpoints_changed(listing)

    def drain(self) -> None:
        if self.overload is not None:
            self.overload.drain()
        if self.book is not None:
            self.book.drain()
        if self.distribution is not None:  # what replaces this process waits for its address and its disk
            self.distribution.stop()
            self._end_disk()
        # what replaces this process waits for the address
        self.membership.leave().addCallback(lambda _: self.membership.stop())

    def stop(self) -> None:
        if self.rules is not None:
            self.rules.stop()
        self._end_disk()

    def _end_disk(self) -> None:
        disk, self.disk = self.disk, None
        if disk is not None:
            disk.close()

    def metrics(self) -> Mapping[str, float]:
        told: dict[str, float] = dict(self.membership.metrics()) | {name: float(n) for name, n in self.counts.items()}
        if self.overload is not None:
            told |= self.overload.metrics()
        if self.rules is not None:
            told |= self.rules.metrics()
        return told

    def summary_lines(self) -> Sequence[str]:
        counted: Any = {name: value for name, value in sorted(self.metrics().items()) if value}
        return ["fleet: " + (" ".join(f"{name}={value:g}" for name, value in counted.items()) or "nothing")]


def create_component(host: ComponentContext) -> FleetComponent:
    return FleetComponent(host)

"""The gather component of the daemon. Its rules come from the operator's file or from the fleet's rule set."""

import logging
from collections.abc import Mapping, Sequence
from typing import Any

from rackhub.config import gather_rules
from rackhub.core.component import Component, ComponentContext
from rackhub.core.source import EndpointSnapshot
from rackhub.fleet.ports import Fleet, Member, OverloadStatus
from rackhub.gather.dispatcher import GatherDispatcher
from rackhub.gather.remote_gateways import RemoteGateways
from rackhub.gather.rules import GatherRules, Site
from rackhub.operatorfile import Operator

log = logging.getLogger(__name__)


class GatherComponent(Component):
    """Gives the core a `GatherDispatcher`, and keeps its rules and endpoint list current."""

    def __init__(self, context: ComponentContext):
        super().__init__(context)
        limits = context.config.limits
        self.remotes = RemoteGateways(
            context.reactor, limits.dial_timeout, limits.max_result_size, lambda name: self.dispatcher.count(name)
        )
        self._file_rules: GatherRules = gather_rules(context.operator.gather or {}, context.source.settings)
        self._fleet: Fleet | None = None
        self.dispatcher = GatherDispatcher(
            context.core,
            self._file_rules,
            self.remotes,
            context.config.seed,
            gateways_unreachable=self._gateways_unreachable,
        )
        context.core.gather_port = self.dispatcher

    def join_fleet(self, fleet: Fleet, level: OverloadStatus | None) -> None:
        """Use the fleet's membership for reachability, and its overload level and retry budget."""
        self._fleet = fleet
        self.dispatcher.level = level
        fleet.members.follow(self._member_changed)

    def _member_changed(self, member: Member) -> None:
        self.dispatcher.cancel_unreachable()

    def _gateways_unreachable(self, site: Site) -> bool:
        """Return whether all coordinators of another installation are members of this fleet and none is reachable.

        The reachability of a coordinator that is not a member is unknown; the site then counts as reachable.
        """
        if self._fleet is None:
            return False
        members = self._fleet.members
        reachable = members.reachable()
        names_by_address = {member.client_address: name for name, member in members.all().items()}
        names = [names_by_address.get(address) for address in site.addresses]
        return all(name is not None and name not in reachable for name in names)

    def begin(self, snapshot: EndpointSnapshot) -> EndpointSnapshot:
        """Join the fleet and its rule set, if they are enabled."""
        # Typed as Any: the fleet is not imported where it is disabled.
        fleet: Any = self.context.components.get("fleet")
        if fleet is not None:
            self.join_fleet(fleet.fleet, fleet.overload)
            if fleet.rules is not None:
                fleet.rules.add_section("gather", self)
        self.dispatcher.update_endpoints(snapshot)
        return snapshot

    def endpoints_changed(self, snapshot: EndpointSnapshot) -> None:
        """Apply a new endpoint list."""
        self.dispatcher.update_endpoints(snapshot)

    def reload(self, operator: Operator) -> None:
        """Apply the file's rules, unless those of the rule set are active."""
        version = self.dispatcher.active.version
        if version:
            log.info("reload: [gather] of the file is not applied, version %d of the rule set is active", version)
            return
        try:
            self._file_rules = gather_rules(operator.gather or {}, self.context.source.settings)
        except ValueError as error:
            log.error("reload: bad gather rules, keeping the active ones: %s", error)
            return
        self.dispatcher.apply_rules(self._file_rules, 0)

    # ---- fleet.ports.RuleSection

    def check(self, section: Mapping[str, Any] | None) -> None:
        """Raise `ValueError` with all faults of the rules."""
        gather_rules(dict(section or {}), self.context.source.settings)

    def apply(self, section: Mapping[str, Any] | None, version: int) -> None:
        """Apply the rules of a version of the rule set, or those of the file where it has no such section."""
        rules = self._file_rules if section is None else gather_rules(dict(section), self.context.source.settings)
        self.dispatcher.apply_rules(rules, version)

    def stop(self) -> None:
        """Close the connections to other installations."""
        self.remotes.close()

    def metrics(self) -> Mapping[str, float]:
        """Counters and gauges by name."""
        return self.dispatcher.metrics()

    def summary_lines(self) -> Sequence[str]:
        """One line with all values except zero."""
        values = " ".join(f"{name}={value}" for name, value in self.metrics().items() if value)
        return [f"gather: {values or 'none'}"]


def create_component(context: ComponentContext) -> GatherComponent:
    """Create the component."""
    return GatherComponent(context)

"""Gathers as a part of the daemon: rules from the operator's file, or from the rule book where the fleet has one."""

import logging
from collections.abc import Mapping, Sequence
from typing import Any

from rackhub.config import gather_rules
from rackhub.core.component import Component, ComponentContext
from rackhub.core.source import EndpointSnapshot
from rackhub.fleet.ports import Fleet, Level, Member
from rackhub.gather.desk import GatherDesk
from rackhub.gather.remote import Remotes
from rackhub.gather.rules import Site
from rackhub.operatorfile import Operator

log = logging.getLogger(__name__)


class GatherPart(Component):
    def __init__(self, host: ComponentContext):
        super().__init__(host)
        limits = host.config.limits
        self.remotes = Remotes(host.reactor, limits.dial_timeout, limits.result, lambda name: self.desk.count(name))
        rules = gather_rules(host.operator.gather or {}, host.source.settings)
        self._file, self._fleet = rules, None  # type: tuple[Any, Fleet | None]
        self.desk = GatherDesk(host.core, rules, self.remotes, host.config.seed, cut=self._cut)
        host.core.gather_port = self.desk

    def join(self, fleet: Fleet, level: Level | None) -> None:
        """The fleet is on: its members' word spares waits, its level spares parts, its budget pays for second tries."""
        self._fleet, self.desk.level = fleet, level
        fleet.members.follow(self._changed)

    def _changed(self, member: Member) -> None:
        self.desk.look()

    def _cut(self, site: Site) -> bool:
        """Whether all gateways of another installation that are members of this fleet are out of reach, and there are
        some: whoever is no member is not told of here, and is asked."""
        if self._fleet is None:
            return False
        members = self._fleet.members
        heard, known = members.heard(), {member.serves: name for name, member in members.all().items()}
        named = [known.get(address) for address in site.addresses]
        return all(name is not None and name not in heard for name in named)

    def begin(self, listing: EndpointSnapshot) -> EndpointSnapshot:
        fleet: Any = self.context.components.get("fleet")  # not by its type: where it is off it is not imported
        if fleet is not None:
            self.join(fleet.fleet, fleet.overload)
            if fleet.rules is not None:
                fleet.rules.part("gather", self)
        self.desk.listed(listing)
        return listing

    def endpoints_changed(self, listing: EndpointSnapshot) -> None:
        self.desk.listed(listing)

    def reload(self, operator: Operator) -> None:
        if self.desk.held.version:
            return log.info("reload: the rule book's version %d holds, not the file's [gather]", self.desk.held.version)
        try:
            self._file = gather_rules(operator.gather or {}, self.context.source.settings)
        except ValueError as bad:
            return log.error("reload: bad gather rules, the old ones hold: %s", bad)
        self.desk.hold(self._file, 0)

    # ---- as `ports.RulePart`

    def check(self, part: Mapping[str, Any] | None) -> None:
        gather_rules(dict(part or {}), self.context.source.settings)

    def hold(self, part: Mapping[str, Any] | None, version: int) -> None:
        rules = self._file if part is None else gather_rules(dict(part), self.context.source.settings)
        self.desk.hold(rules, version)

    def stop(self) -> None:
        self.remotes.close()

    def metrics(self) -> Mapping[str, float]:
        return self.desk.figures()

    def summary_lines(self) -> Sequence[str]:
        return ["gather: " + (" ".join(f"{name}={value}" for name, value in self.metrics().items() if value) or "none")]


def part(host: ComponentContext) -> GatherPart:
    return GatherPart(host)

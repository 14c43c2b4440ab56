"""The faults of a case, in virtual time, and which coordinators were down or cut off when."""

from collections.abc import Callable, Sequence

from rackhub.fleet.distribution.ports import Core
from rackhub.trials.scale.cases import Action, Cut, KillRelays, Restart, StallRelay
from rackhub.trials.scale.layout import Layout
from rackhub.trials.scale.trace import Outage
from rackhub.trials.scale.virtual_network import SECOND, Network
from rackhub.trials.scale.virtual_register import VirtualRegister

UPDATES_SENT = 2  # by a relay that ends while it sends


class VirtualFaults:
    """`begin_anew` makes the core of a coordinator that starts again."""

    def __init__(self, network: Network, layout: Layout, register: VirtualRegister, begin_anew: Callable[[str], Core]):
        self.outages: dict[str, list[Outage]] = {}
        self._network, self._layout, self._register = network, layout, register
        self._begin_anew = begin_anew

    def schedule(self, actions: Sequence[Action]) -> None:
        for action in actions:
            self._network.at(self._network.now + int(action.at * SECOND), self._do, action)

    def _do(self, action: Action) -> None:
        match action:
            case KillRelays(relays=relays, sending=sending):
                self._kill(relays, sending)
            case StallRelay(relay=relay, seconds=seconds):
                self._network.stall(relay, seconds)
            case Cut(zones=zones, seconds=seconds):
                self._cut(frozenset(zones), seconds)
            case Restart(coordinator=name, down=down):
                self._restart(name, down)

    def _kill(self, relays: Sequence[str], sending: bool) -> None:
        if sending:
            self._register.edit()
        for relay in relays:
            if sending:
                self._network.end_while_sending(relay, UPDATES_SENT)
            else:
                self._network.end(relay)

    def _cut(self, zones: frozenset[str], seconds: float) -> None:
        outage = Outage(self._network.now, self._network.now + int(seconds * SECOND))
        self._network.cut(zones, seconds)
        for place in self._layout.coordinators:
            if place.zone in zones:
                self.outages.setdefault(place.name, []).append(outage)

    def _restart(self, name: str, down: float) -> None:
        if not self._network.processes[name].up:
            return
        back = self._network.now + int(down * SECOND)
        self.outages.setdefault(name, []).append(Outage(self._network.now, back))
        self._network.end(name)
        self._network.at(back, lambda: self._network.begin(name, self._begin_anew(name)))

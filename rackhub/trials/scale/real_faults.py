"""The faults of a case, in real time, on real processes; and which coordinators were down or cut off when."""

import asyncio
import time
from collections.abc import Awaitable, Callable, Mapping, Sequence

from rackhub.trials.scale.cases import Action, Cut, KillRelays, Restart, StallRelay
from rackhub.trials.scale.layout import Layout
from rackhub.trials.scale.orders import CutOff, RestartCoordinator
from rackhub.trials.scale.processes import ChildProcess
from rackhub.trials.scale.trace import Outage

SENDING_SECONDS = 0.001  # from an acknowledged edit until a relay that sends it is killed


def clock() -> int:
    """Microseconds of the clock that all processes of this machine share."""
    return time.monotonic_ns() // 1_000


class RealFaults:
    """`host_of`: the process of each place. `edit` makes a change and returns when it is acknowledged."""

    def __init__(self, layout: Layout, host_of: Mapping[str, ChildProcess], edit: Callable[[], Awaitable[None]]):
        self.outages: dict[str, list[Outage]] = {}
        self._layout, self._host_of, self._edit = layout, host_of, edit

    async def run(self, actions: Sequence[Action]) -> None:
        """All of them at their times, the last one over."""
        async with asyncio.TaskGroup() as group:
            for action in actions:
                group.create_task(self._at(action))

    def restarted(self, name: str, outage: Outage) -> None:
        self.outages.setdefault(name, []).append(outage)

    async def _at(self, action: Action) -> None:
        await asyncio.sleep(action.at)
        match action:
            case KillRelays(relays=relays, sending=sending):
                if sending:
                    await self._edit()
                    await asyncio.sleep(SENDING_SECONDS)
                for relay in relays:
                    self._host_of[relay].kill()
            case StallRelay(relay=relay, seconds=seconds):
                self._host_of[relay].stall()
                await asyncio.sleep(seconds)
                self._host_of[relay].wake()
            case Cut(zones=zones, seconds=seconds):
                await self._cut(zones, seconds)
            case Restart(coordinator=name, down=down):
                self._host_of[name].send(RestartCoordinator(name, down))

    async def _cut(self, zones: tuple[str, ...], seconds: float) -> None:
        began = clock()
        self._tell_all(CutOff(zones))
        await asyncio.sleep(seconds)
        self._tell_all(CutOff(()))
        outage = Outage(began, clock())
        for place in self._layout.coordinators:
            if place.zone in zones:
                self.outages.setdefault(place.name, []).append(outage)

    def _tell_all(self, order: CutOff) -> None:
        for host in set(self._host_of.values()):
            host.send(order)

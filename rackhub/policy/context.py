"""State shared by the components of a router: settings, clock, random numbers, timers, engines and queries."""

import random
from collections.abc import Callable
from typing import Any

from rackhub import interface
from rackhub.policy.state import AttemptState, QueryState
from rackhub.policy.statistics import ClassStatistics, EngineState

Action = (
    interface.Send
    | interface.ExecutionHints
    | interface.Cancel
    | interface.Reject
    | interface.Fail
    | interface.Timer
    | interface.CheckHealth
    | interface.SendGossip
    | interface.WatchEndpoints
    | interface.PollEndpoints
    | interface.CloseIdleConnections
    | interface.Log
)

MIN_SHARE = 1e-9  # lower bound of a share, against division by zero


class RouterContext:
    """State shared by the components of one router. All times are microseconds of the events' clock."""

    def __init__(self, settings: interface.Settings, seed: int) -> None:
        self.settings = settings
        self.random = random.Random(seed)
        self.now = 0
        self.stalled_at = 0  # time of the event at which a stall of this process was last detected
        self.actions: list[Action] = []
        self.dropped_timers: list[int] = []  # timers dropped by the present event, which need not fire
        self.engines: dict[str, EngineState] = {}
        self.classes = {entry.name: ClassStatistics(entry) for entry in settings.classes}
        self.queries: dict[str, QueryState] = {}
        self.attempts: dict[tuple[str, int], AttemptState] = {}
        self.timers: dict[int, tuple[Callable[..., Any], tuple[Any, ...]]] = {}
        self._last_timer_id = 0
        self.set_allocation(interface.FleetAllocation())

    def set_allocation(self, allocation: interface.FleetAllocation) -> None:
        """Apply an allocation of the fleet. Shares that are None follow from the configured number of gateways."""
        gateways = self.settings.gateways
        thread_share = allocation.thread_share
        slow_start_share = allocation.slow_start_share
        self.allocation = allocation
        self.gateway_count = gateways if thread_share is None else 1 / max(thread_share, MIN_SHARE)
        self.slow_start_gateway_count = gateways if slow_start_share is None else 1 / max(slow_start_share, MIN_SHARE)

    def schedule(self, delay: float, callback: Callable[..., Any], *arguments: Any) -> int:
        """Schedule a callback after `delay` microseconds and return the timer's id."""
        self._last_timer_id += 1
        self.timers[self._last_timer_id] = (callback, arguments)
        self.actions.append(interface.Timer(max(int(delay), 1), self._last_timer_id))
        return self._last_timer_id

    def fire_timer(self, timer_id: int) -> None:
        """Run the callback of an expired timer, unless the timer was dropped."""
        if timer := self.timers.pop(timer_id, None):
            callback, arguments = timer
            callback(*arguments)

    def drop_timer(self, timer_id: int | None) -> None:
        """Drop a timer, so that its callback is not run."""
        if timer_id is not None and self.timers.pop(timer_id, None) is not None:
            self.dropped_timers.append(timer_id)

    @property
    def stalled(self) -> bool:
        """True if this process has just been stalled, so that times measured now are meaningless."""
        return self.now == self.stalled_at

"""What all parts of the router share: settings, clock, random numbers, timers and the tables of live objects."""

import random
from collections.abc import Callable
from typing import Any

from rackhub import interface as t
from rackhub.policy.state import AttemptState, QueryState
from rackhub.policy.statistics import ClassStatistics, EngineState

Action = (
    t.Send
    | t.ExecutionHints
    | t.Cancel
    | t.Reject
    | t.Fail
    | t.Timer
    | t.CheckHealth
    | t.SendGossip
    | t.WatchEndpoints
    | t.PollEndpoints
    | t.CloseIdleConnections
    | t.Log
)

MIN_SHARE = 1e-9  # a share of 0 must not divide by 0


class RouterContext:
    """The state that the parts of one router share. Times are microseconds of the events' clock."""

    def __init__(self, settings: t.Settings, seed: int) -> None:
        self.settings = settings
        self.random = random.Random(seed)
        self.now = 0
        self.stalled_at = 0  # when this process last noticed that it had not run for a while
        self.actions: list[Action] = []
        self.engines: dict[str, EngineState] = {}
        self.classes = {entry.name: ClassStatistics(entry) for entry in settings.classes}
        self.queries: dict[str, QueryState] = {}
        self.attempts: dict[tuple[str, int], AttemptState] = {}
        self.timers: dict[int, tuple[Callable[..., Any], tuple[Any, ...]]] = {}
        self._last_timer_id = 0
        self.set_allocation(t.FleetAllocation())

    def set_allocation(self, allocation: t.FleetAllocation) -> None:
        """Take over what the fleet agrees on; without it this gateway is one of the configured number."""
        gateways = self.settings.gateways
        thread_share = allocation.thread_share
        slow_start_share = allocation.slow_start_share
        self.allocation = allocation
        self.gateway_count = gateways if thread_share is None else 1 / max(thread_share, MIN_SHARE)
        self.slow_start_gateway_count = gateways if slow_start_share is None else 1 / max(slow_start_share, MIN_SHARE)

    def schedule(self, delay: float, callback: Callable[..., Any], *arguments: Any) -> int:
        """Call back after `delay` microseconds; returns the timer's id."""
        self._last_timer_id += 1
        self.timers[self._last_timer_id] = (callback, arguments)
        self.actions.append(t.Timer(max(int(delay), 1), self._last_timer_id))
        return self._last_timer_id

    def fire_timer(self, timer_id: int) -> None:
        """Run the callback of a due timer, unless it was dropped meanwhile."""
        if timer := self.timers.pop(timer_id, None):
            callback, arguments = timer
            callback(*arguments)

    def drop_timer(self, timer_id: int | None) -> None:
        """Forget a timer."""
        if timer_id is not None:
            self.timers.pop(timer_id, None)

    @property
    def stalled(self) -> bool:
        """Whether this process has just been stalled, which makes its measurements of time worthless."""
        return self.now == self.stalled_at

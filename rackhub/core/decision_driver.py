"""Passes events to the routing policy one at a time and executes the actions that the policy returns."""

from collections import deque
from collections.abc import Callable, Iterable
from typing import Any, Protocol

from rackhub import interface, logs
from rackhub.core.state import CoordinatorState
from rackhub.core.timers import Timer

log = logs.logger(__name__)

ActionHandler = Callable[[Any], None]


class RoutingPolicy(Protocol):
    """Decides on requests: turns each event into actions, without I/O."""

    def handle(self, now: int, event: object) -> Iterable[object]:
        """Return the actions to execute, in order, after an event at `now` (microseconds)."""

    @property
    def dropped_timers(self) -> Iterable[int]:
        """The ids of the timers that the last event has made needless."""


class DecisionDriver:
    """Queue of events, and the handlers of actions by the action's type.

    An event that is caused by an action is handled after all actions of the current event.
    """

    def __init__(self, state: CoordinatorState, control: RoutingPolicy) -> None:
        self.control = control
        self._state = state
        self._events: deque[object] = deque()
        self._handling = False
        self._timers: dict[int, Timer] = {}  # the policy's pending timers by its ids
        self._handlers: dict[type, ActionHandler] = {
            interface.Timer: self._start_timer,
            interface.CloseIdleConnections: self._close_idle_connections,
            interface.Log: self._log,
            interface.CheckHealth: self._check_health,
            interface.SendGossip: self._send_gossip,
        }

    def register(self, action: type, handler: ActionHandler) -> None:
        """Call `handler` for each action of this type. An action without a handler is ignored."""
        self._handlers[action] = handler

    def dispatch(self, event: object) -> None:
        """Queue an event; unless an event is being handled already, handle all queued events."""
        self._events.append(event)
        if self._handling:
            return
        self._handling = True
        try:
            while self._events:
                self._handle(self._events.popleft())
        finally:
            self._handling = False

    def _handle(self, event: object) -> None:
        try:
            for action in self.control.handle(self._state.clock.now(), event):
                if handler := self._handlers.get(type(action)):
                    handler(action)
        except Exception:  # a fault in the policy must not stop the daemon: the deadline monitor answers
            self._state.counters.add("module_errors")
            log.exception("policy_failed", on=repr(event))
        self._cancel_dropped_timers()

    def _cancel_dropped_timers(self) -> None:
        """Cancel the timers that the policy no longer needs: they would keep what they refer to until they expire."""
        for timer_id in self.control.dropped_timers:
            if timer := self._timers.pop(timer_id, None):
                timer.cancel()

    def timer_fired(self, timer_id: int) -> None:
        """Notify the policy that a timer which it requested has expired."""
        self._timers.pop(timer_id, None)
        self.dispatch(interface.TimerFired(timer_id))

    def _start_timer(self, action: interface.Timer) -> None:
        expires_at = self._state.clock.now() + action.delay
        self._timers[action.timer_id] = self._state.timers.call_at(expires_at, self.timer_fired, action.timer_id)

    def _close_idle_connections(self, action: interface.CloseIdleConnections) -> None:
        self._state.engine_port.close_idle(action.engine)

    def _log(self, action: interface.Log) -> None:
        log.info("policy_message", text=action.text)

    def _check_health(self, action: interface.CheckHealth) -> None:
        if self._state.fleet_coordinator is not None:  # health checks need the fleet component
            self._state.fleet_coordinator.check_health(action.engine)

    def _send_gossip(self, action: interface.SendGossip) -> None:
        if self._state.fleet_coordinator is not None:
            self._state.fleet_coordinator.send_gossip(action.peer, action.contents)

"""Hands events to the routing policy one after another, and carries out the actions that it answers with."""

from collections import deque
from collections.abc import Callable, Iterable
from typing import Any, Protocol

from rackhub import interface, logs
from rackhub.core.state import CoordinatorState

log = logs.logger(__name__)

ActionHandler = Callable[[Any], None]


class RoutingPolicy(Protocol):
    """Decides on requests: it turns an event into actions, and does no I/O."""

    def handle(self, now: int, event: object) -> Iterable[object]:
        """The actions to carry out, in order, after an event at `now` (microseconds)."""


class DecisionDriver:
    """The queue of events and the handlers of actions, by the action's type.

    An event that an action leads to is handled after all actions of the event before it.
    """

    def __init__(self, state: CoordinatorState, control: RoutingPolicy) -> None:
        self.control = control
        self._state = state
        self._events: deque[object] = deque()
        self._handling = False
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
        """Queue an event; handle the queue unless an event is being handled already."""
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
        except Exception:  # a fault in a decision must not end the daemon: the backstop answers
            self._state.counters.add("module_errors")
            log.exception("policy_failed", on=repr(event))

    def timer_fired(self, reference: int) -> None:
        """Report that a timer which the policy asked for has expired."""
        self.dispatch(interface.TimerFired(reference))

    def _start_timer(self, action: interface.Timer) -> None:
        self._state.timers.call_at(self._state.clock.now() + action.delay, self.timer_fired, action.timer_id)

    def _close_idle_connections(self, action: interface.CloseIdleConnections) -> None:
        self._state.engine_port.close_idle(action.engine)

    def _log(self, action: interface.Log) -> None:
        log.info("policy_message", text=action.text)

    def _check_health(self, action: interface.CheckHealth) -> None:
        if self._state.fleet_coordinator is not None:  # only the fleet's peers make health checks
            self._state.fleet_coordinator.check_health(action.engine)

    def _send_gossip(self, action: interface.SendGossip) -> None:
        if self._state.fleet_coordinator is not None:
            self._state.fleet_coordinator.send_gossip(action.peer, action.contents)

"""The daemon's operators component: the operators' address, metrics, and ejections that outlive the process."""

import logging
import os
from collections.abc import Callable, Sequence
from functools import partial

from twisted.internet.task import LoopingCall

from rackhub import interface
from rackhub.core.component import Component, ComponentContext
from rackhub.core.source import EndpointSnapshot
from rackhub.limits import SECOND
from rackhub.net.listen import SharedPort
from rackhub.ops import handover_file, process_replacement
from rackhub.ops.commands import CommandHandler
from rackhub.ops.listener import OperatorListener
from rackhub.ops.metrics import MetricsCollector
from rackhub.ops.shared_ejections import SharedEjections
from rackhub.ops.shared_ids import SharedIds

log = logging.getLogger(__name__)
LISTEN_BACKLOG = 64  # connections


class OpsComponent(Component):
    """Serves operators' commands, and shares the manual ejections with the predecessor and the successor process."""

    def __init__(self, context: ComponentContext):
        """Take the replacement lock and load the ejections that the previous process handed over."""
        super().__init__(context)
        self._successor_is_running = self._take_lock()
        process_replacement.stop_throttling()
        self._entries: Sequence[interface.EngineEntry] = ()
        self.ids = self._share_ids()
        context.core.executed_ids = self.ids
        self.ejections = SharedEjections(handover_file.file_path(os.environ), context.counters.add)
        metrics = MetricsCollector(
            context.core.counts_by_class,
            lambda: len(context.core.queries),
            lambda: len(self._entries),
            lambda: self.ejections.current.count_unavailable(self._entries),
        )
        handler = CommandHandler(
            self.ejections,
            is_ready=context.is_serving,
            on_change=context.republish_endpoints,
            metrics_text=metrics.text,
            now=context.clock.now,
        )
        self._listener = OperatorListener(handler, context.reactor, context.config.limits, context.counters)
        self._port: SharedPort | None = None

    def _share_ids(self) -> SharedIds | None:
        """Share the ids of executed requests with other processes; without a directory for that they are not shared."""
        try:
            return SharedIds(handover_file.file_path(os.environ).parent, self.context.counters.add)
        except OSError as error:
            log.warning("can't share the ids of requests with another process: %s", error)
            return None

    @staticmethod
    def _take_lock() -> Callable[[], bool]:
        """Take the replacement lock and return a function that tells whether a successor is running."""
        try:
            descriptor = process_replacement.hold_lock(os.environ)
        except OSError as error:
            log.warning("can't take the replacement lock, so a successor will start without throttling: %s", error)
            return lambda: False
        return partial(process_replacement.successor_is_running, descriptor)

    def open(self) -> None:
        """Listen on the operators' address. It stays open while the process drains; HEALTH then answers NO."""
        config = self.context.config
        if config.operator is not None:
            self._port = SharedPort(self.context.reactor, *config.operator, self._listener, LISTEN_BACKLOG)
            LoopingCall(self._refresh).start(config.limits.handover_check_interval / SECOND, now=False)

    def begin(self, snapshot: EndpointSnapshot) -> EndpointSnapshot:
        """Record the initial endpoint list and return it unchanged."""
        self._entries = snapshot.entries
        return snapshot

    def visible_endpoints(self, entries: Sequence[interface.EngineEntry]) -> Sequence[interface.EngineEntry]:
        """Return the endpoint list with manually ejected engines shown as draining."""
        self._entries = entries
        self.ejections.refresh()
        self.ejections.add_known(entries)
        return self.ejections.current.visible_endpoints(entries)

    def has_successor(self) -> bool:
        """Whether the process that replaces this one is running."""
        return self._successor_is_running()

    def _refresh(self) -> None:
        if self.ids is not None:
            self.ids.refresh()
        if self.ejections.refresh():
            self.context.republish_endpoints()


def create_component(context: ComponentContext) -> OpsComponent:
    """Create the component. Called by `rackhub.components`."""
    return OpsComponent(context)

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
        self._path = handover_file.file_path(os.environ)
        self._file_version = handover_file.file_version(self._path)  # the version last read or written by this process
        self.ejections = handover_file.load_ejections(self._path, context.counters.add)
        metrics = MetricsCollector(
            context.core.counts_by_class,
            lambda: len(context.core.queries),
            lambda: len(self._entries),
            lambda: self.ejections.count_unavailable(self._entries),
        )
        handler = CommandHandler(
            self.ejections,
            is_ready=context.is_serving,
            on_change=self._publish_and_save,
            metrics_text=metrics.text,
            now=context.clock.now,
            refresh=self._refresh,
        )
        self._listener = OperatorListener(handler, context.reactor, context.config.limits, context.counters)
        self._port: SharedPort | None = None

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
        self._adopt_saved_ejections()
        if self.ejections.add_known(entries):  # a successor has to know these ids too
            self._save()
        return self.ejections.visible_endpoints(entries)

    def has_successor(self) -> bool:
        """Whether the process that replaces this one is running."""
        return self._successor_is_running()

    def _adopt_saved_ejections(self) -> bool:
        """Adopt the ejections that another process has saved. Returns whether they differ from the current ones.

        While one process replaces another, a command may reach either of them, so both use the state saved last.
        """
        version = handover_file.file_version(self._path)
        if version is None or version == self._file_version:
            return False
        self._file_version = version
        try:
            state = handover_file.read(self._path)
        except handover_file.HandoverFileError as error:
            self.context.counters.add("ops_state_bad")
            log.error("ignoring the ejections saved by another process: %s", error)
            return False
        if state is None:
            return False
        return self.ejections.adopt(set(state.ejected), set(state.known), state.restored_at)

    def _refresh(self) -> None:
        if self._adopt_saved_ejections():
            self.context.republish_endpoints()

    def _publish_and_save(self) -> None:
        self.context.republish_endpoints()
        self._save()

    def _save(self) -> None:
        handover_file.save_ejections(self._path, self.ejections, self.context.counters.add)
        self._file_version = handover_file.file_version(self._path)


def create_component(context: ComponentContext) -> OpsComponent:
    """Create the component. Called by `rackhub.components`."""
    return OpsComponent(context)

"""The daemon's operators component: the second address, metrics, and ejections that outlive a process replacement."""

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
    """Serves operators' commands, and shares manual ejections with the predecessor and the successor."""

    def __init__(self, context: ComponentContext):
        """Take the replacement lock and load the ejections that the previous process handed over."""
        super().__init__(context)
        self._successor_is_running = self._take_lock()
        process_replacement.stop_throttling()
        self._listed: Sequence[interface.EngineEntry] = ()
        self._path = handover_file.file_path(os.environ)
        self._file_version = handover_file.file_version(self._path)  # as last read or written here
        self.ejections = handover_file.load_ejections(self._path, context.counters.add)
        metrics = MetricsCollector(
            context.core.counts_by_class,
            lambda: len(context.core.queries),
            lambda: len(self._listed),
            lambda: self.ejections.count_unavailable(self._listed),
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
        """Take the replacement lock; returns the check for a successor."""
        try:
            descriptor = process_replacement.hold_lock(os.environ)
        except OSError as error:
            log.warning("the next process can't detect this one, and will start at full speed: %s", error)
            return lambda: False
        return partial(process_replacement.successor_is_running, descriptor)

    def open(self) -> None:
        """Listen on the second address until the process ends: HEALTH answers NO while it drains."""
        config = self.context.config
        if config.operator is not None:
            self._port = SharedPort(self.context.reactor, *config.operator, self._listener, LISTEN_BACKLOG)
            LoopingCall(self._refresh).start(config.limits.handover_check_interval / SECOND, now=False)

    def begin(self, listing: EndpointSnapshot) -> EndpointSnapshot:
        """Note the initial endpoint list."""
        self._listed = listing.entries
        return listing

    def visible_endpoints(self, entries: Sequence[interface.EngineEntry]) -> Sequence[interface.EngineEntry]:
        """The endpoint list with manually ejected engines as draining."""
        self._listed = entries
        self._adopt_saved()
        if self.ejections.add_known(entries):  # the next process must know these ids too
            self._save()
        return self.ejections.visible_endpoints(entries)

    def has_successor(self) -> bool:
        """Whether a process that replaces this one is running."""
        return self._successor_is_running()

    def _adopt_saved(self) -> bool:
        """Adopt the ejections that another process has saved; returns whether they differ.

        While one process replaces another, commands reach either of them, and both follow the last saved state.
        """
        version = handover_file.file_version(self._path)
        if version is None or version == self._file_version:
            return False
        self._file_version = version
        try:
            state = handover_file.read(self._path)
        except handover_file.HandoverFileError as error:
            self.context.counters.add("ops_state_bad")
            log.error("the state saved by another process is ignored: %s", error)
            return False
        if state is None:
            return False
        return self.ejections.adopt(set(state.ejected), set(state.known), state.restored_at)

    def _refresh(self) -> None:
        if self._adopt_saved():
            self.context.republish_endpoints()

    def _publish_and_save(self) -> None:
        self.context.republish_endpoints()
        self._save()

    def _save(self) -> None:
        handover_file.save_ejections(self._path, self.ejections, self.context.counters.add)
        self._file_version = handover_file.file_version(self._path)


def create_component(context: ComponentContext) -> OpsComponent:
    """Create the component; `rackhub.components` calls it."""
    return OpsComponent(context)

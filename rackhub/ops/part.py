"""The operators' second address as a part of the daemon: its figures, and bans that outlive a replacement."""

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
from rackhub.ops import gentle, statefile
from rackhub.ops.desk import OpsDesk
from rackhub.ops.figures import Figures
from rackhub.ops.listener import OpsFront

log = logging.getLogger(__name__)


class OpsPart(Component):
    def __init__(self, host: ComponentContext):
        super().__init__(host)
        self._path = statefile.place(os.environ)
        self._succeeded: Callable[[], bool] = lambda: False
        try:
            self._succeeded = partial(gentle.succeeded, gentle.hold(os.environ))
        except OSError as fault:
            log.warning("the next process can't know of this one, and will start at full speed: %s", fault)
        gentle.done()
        self._listed: Sequence[interface.EngineEntry] = ()
        self._mark = statefile.mark(self._path)  # of the file as it was last read or written here
        self.bans = statefile.kept_bans(self._path, host.counters.add)
        figures = Figures(
            host.core.counts_by_class,
            lambda: len(host.core.queries),
            lambda: len(self._listed),
            lambda: self.bans.avoided(self._listed),
        )
        desk = OpsDesk(self.bans, host.serving, self._changed, figures.text, host.clock.now, self._fresh)
        self._front = OpsFront(desk, host.reactor, host.config.limits, host.counters)
        self._port: SharedPort | None = None

    def open(self) -> None:  # open to the end: HEALTH says no meanwhile
        if self.context.config.operator is not None:
            self._port = SharedPort(self.context.reactor, *self.context.config.operator, self._front, 64)
            LoopingCall(self._fresh).start(self.context.config.limits.ops_fresh / SECOND, now=False)

    def begin(self, listing: EndpointSnapshot) -> EndpointSnapshot:
        self._listed = listing.entries
        return listing

    def visible_endpoints(self, entries: Sequence[interface.EngineEntry]) -> Sequence[interface.EngineEntry]:
        """Engines out by hand are draining there."""
        self._listed = entries
        self._take_up()
        if self.bans.seen(entries):  # the next process must know these ids too
            self._keep()
        return self.bans.shown(entries)

    def succeeded(self) -> bool:
        return self._succeeded()

    def _take_up(self) -> bool:
        """While one process replaces the other, calls come to either: each goes by what was kept last, whoever kept
        it. Whether anything was new."""
        mark = statefile.mark(self._path)
        if mark is None or mark == self._mark:
            return False
        self._mark = mark
        try:
            kept = statefile.read(self._path)
        except statefile.Unreadable as bad:
            self.context.counters.add("ops_state_bad")
            log.error("what another process kept is ignored: %s", bad)
            return False
        return kept is not None and self.bans.take_up(set(kept.out), set(kept.listed), kept.back)

    def _fresh(self) -> None:
        if self._take_up():
            self.context.republish_endpoints()

    def _changed(self) -> None:
        self.context.republish_endpoints()
        self._keep()

    def _keep(self) -> None:
        statefile.keep_bans(self._path, self.bans, self.context.counters.add)
        self._mark = statefile.mark(self._path)


def part(host: ComponentContext) -> OpsPart:
    return OpsPart(host)

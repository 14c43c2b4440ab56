"""Puts the parts together on Twisted's reactor, and ends them in order."""

import gc
import signal
import sys
from collections.abc import Callable

from twisted.internet import reactor
from twisted.internet.defer import gatherResults
from twisted.internet.task import LoopingCall
from twisted.python.log import PythonLoggingObserver

from rackhub import components, logs
from rackhub.clock import UnixClock
from rackhub.config import Config, address
from rackhub.core.component import ComponentContext
from rackhub.core.coordinator import Coordinator
from rackhub.core.engine_start_times import EngineStartTimes
from rackhub.core.lease import EndpointLease
from rackhub.core.source import Address, EndpointSnapshot, Source
from rackhub.core.timers import Timers
from rackhub.counters import Counters
from rackhub.net.jsonrpc import jsonrpc_front
from rackhub.net.listen import SharedPort
from rackhub.net.loop import ReactorWaker
from rackhub.net.platform_source import PlatformSource
from rackhub.net.resp import resp_pools
from rackhub.net.tds.engine import tds_pools
from rackhub.net.tds.front import tds_front
from rackhub.operatorfile import Operator

log = logs.logger(__name__)
SIGNALS = signal.SIGTERM, signal.SIGINT, signal.SIGUSR1, signal.SIGHUP


class Daemon:
    """One coordinator as a process: serving, then draining from SIGTERM on, then done."""

    def __init__(
        self,
        config: Config,
        operator: Operator,
        told: Config,
        reread: Callable[[], Config],
        reread_operator: Callable[[], Operator] | None = None,
    ):
        """`config` as it is used, `told` as the file has it: what a reload compares with. `reread_operator` where
        there is an operator's file."""
        self.config, self.counters, self._reread, self._told = config, Counters(), reread, told
        self._reread_operator = reread_operator
        clock = UnixClock()
        self.source: Source = PlatformSource(
            reactor, config.settings, config.engines, config.nameserver, config.limits, self.counters, self._nameserver
        )
        self.core = Coordinator(
            self.source.settings, config.seed, clock, Timers(clock, ReactorWaker(reactor)), config.limits, self.counters
        )
        shared = clock, config.limits, self.counters, self.core
        self.engines = (
            tds_pools(reactor, operator.tds_engines, *shared) if operator.tds_engines else resp_pools(reactor, *shared)
        )
        self.fronts = [(config.listen, jsonrpc_front(self.core, config.limits, self.counters))]
        if operator.tds_front:
            self.fronts.append(
                (
                    address(operator.tds_front.listen, "tds_front.listen"),
                    tds_front(operator.tds_front, self.core, config.limits, self.counters),
                )
            )
        self._ports: list[SharedPort] = []
        self._leaving = self._serving = False
        self._listing: EndpointSnapshot | None = None
        self._starts = EngineStartTimes()
        self._host = ComponentContext(
            reactor,
            clock,
            config,
            operator,
            self.core,
            self.source,
            self.counters,
            lambda: self._serving and self.core.accepting,
            self._relist,
            reread,
        )
        self.parts = self._host.components
        for name in components.wanted(config, operator):
            self.parts[name] = components.load(name, self._host)

    def _relist(self) -> None:
        """A part shows the list otherwise than before."""
        if self._listing is not None:
            self._tell_list(self._listing)

    def _tell_list(self, listing: EndpointSnapshot) -> None:
        # the module first: once it knows of a drain it sends nothing there, and what the pools give back goes elsewhere
        entries = self._shown(listing)
        self.core.update_endpoints(entries, listing.revision)
        self.engines.update_endpoints(listing.addresses, entries)

    def _shown(self, listing: EndpointSnapshot) -> tuple:
        """The list as the module is to see it."""
        self._listing, entries = listing, self._starts.on_local_clock(listing.entries, self._host.clock.now())
        for part in self.parts.values():
            entries = tuple(part.visible_endpoints(entries))
        return entries

    def _reload(self) -> None:
        """The platform's file, then the operator's. Each part goes on as it was where the new file can't be used; what
        no part takes up in a reload takes a restart."""
        self.source.reload()
        if self._reread_operator is None:
            return
        try:
            self._host.operator = operator = self._reread_operator()
            late = {
                name: components.load(name, self._host)
                for name in components.wanted(self.config, operator)
                if name not in self.parts and name in components.LATE
            }  # requests that are open go on without
        except ValueError as bad:
            self.counters.add("operator_reloads_bad")
            return log.error("reload: bad operator's file, what was read before holds: %s", bad)
        for part in list(self.parts.values()):
            part.reload(operator)
        self.parts.update(late)

    def run(self) -> None:
        engines = self.source.start
        for part in self.parts.values():
            engines = part.begin(engines)
        entries = self._shown(engines)
        self.engines.update_endpoints(engines.addresses, entries)
        self.core.start(self.engines, entries, engines.revision)
        PythonLoggingObserver().start()  # a fault in a callback of the reactor's shows in the log, not nowhere
        self.core.lease = EndpointLease(self.config.limits, self.config.settings.drain_grace, self._host.clock.now())
        self.source.follow(self._listed, self.core)
        # before anyone can connect: a signal that comes then would end the process
        for number, call in zip(SIGNALS, (self._term, self._term, self.tell, self._reload), strict=True):
            signal.signal(number, lambda *_, call=call: reactor.callFromThread(call))
        signal.pthread_sigmask(signal.SIG_UNBLOCK, SIGNALS)  # see `rackhub.__main__`
        for (host, port), front in self.fronts:
            self._ports.append(SharedPort(reactor, host, port, front, 512))
        for part in list(self.parts.values()):  # the rule book that a part holds may turn another one on
            part.open()
        self._serving = True
        LoopingCall(self.engines.sweep).start(0.1, now=False)
        log.info(
            "%s serves on %s, %d engines known",
            self.config.name,
            ", ".join(f"{host}:{port}" for (host, port), _ in self.fronts),
            len(engines.entries),
        )
        # What is here now stays, and what a request makes dies without the collector's help. Connections don't, which
        # are in cycles with their transports: on a long day their remains grew until 50,000 objects were there. So
        # the collector looks by the clock, at what is not frozen: 0.7 ms after 200 connections.
        gc.collect()
        gc.freeze()
        gc.disable()
        LoopingCall(gc.collect).start(self.config.limits.collect / 1_000_000, now=False)
        reactor.run(installSignalHandlers=False)
        for part in reversed(self.parts.values()):
            part.stop()
        self.tell()
        # as Python ends it puts the handlers back to those that end a process: one told twice ended as by a crash
        for number in SIGNALS:
            signal.signal(number, signal.SIG_IGN)

    def _listed(self, listing: EndpointSnapshot) -> None:
        self._tell_list(listing)
        for part in self.parts.values():
            part.endpoints_changed(listing)

    def _nameserver(self) -> Address:
        """Of the configuration as it stands now. The rest of it holds from the start: what else has changed is
        named, so that nobody waits for it to take effect."""
        new = self._reread()
        changed = [
            name for name in ("name", "listen", "settings", "limits") if getattr(new, name) != getattr(self._told, name)
        ]
        if changed:
            log.warning("reload: %s changed too, which takes a restart", ", ".join(changed))
        return new.nameserver

    def tell(self) -> None:
        print(f"counters: {self.counters.line()}", file=sys.stderr, flush=True)
        for part in self.parts.values():
            for line in part.summary_lines():
                print(line, file=sys.stderr, flush=True)

    # ---- the end

    def _term(self) -> None:
        """Answer what was taken, refuse what clients still send, then leave."""
        if self.core.accepting:
            succeeded = any(part.succeeded() for part in self.parts.values())
            # where another process serves on the address the next try goes there, and need not wait
            self.core.start_draining(0 if succeeded else self.config.settings.max_retry_after)
            log.info("told to end: %d requests open", len(self.core.queries))
            for part in self.parts.values():
                part.drain()
            if succeeded:
                self._hand_over()
            reactor.callLater(self.config.limits.read_after_term / 1_000_000, self._stop_reading)
            reactor.callLater(self.config.limits.accept_after_term / 1_000_000, self._close)

    def _hand_over(self) -> None:
        """The process that replaces this one gets all newcomers, and each client goes to it with its next answer."""
        handed = [port.hand_over() for port in self._ports]
        for _, front in self.fronts:
            front.succeeded = True
        log.info("the process that replaces this one serves%s", " and gets all newcomers" if all(handed) else "")

    def _stop_reading(self) -> None:
        """Connections are drained: clients that keep theirs would keep this process from ever being done. What is
        read on them still goes to the core, which refuses it (`Coordinator.ending`); each connection closes once
        nothing is open on it and nothing is half read."""
        for _, front in self.fronts:
            front.drain()

    def _close(self) -> None:
        log.info("listeners_closed", open=len(self.core.queries))
        gatherResults([port.close() for port in self._ports]).addCallback(self._closed)

    def _closed(self, _: object) -> None:
        self._stop_reading()  # and those that came since
        self.core.on_idle = self._idle
        if not self.core.queries:
            self._idle()

    def _idle(self) -> None:
        """Every request has its answer: let the last bytes out. Called while the last answer is being written."""
        reactor.callLater(0, self._let_out)

    def _let_out(self) -> None:
        if self.core.queries or self._leaving:  # one came on an open connection meanwhile: it is answered too
            return
        log.info("all_answered")
        self._leaving = True  # an answer may have called for this more than once
        self.core.on_idle = None
        for _, front in self.fronts:
            front.end()
        self.engines.close_all()
        self._wait_for_clients(self.config.limits.linger)

    def _wait_for_clients(self, left: int) -> None:
        if left > 0 and any(front.connections for _, front in self.fronts):
            reactor.callLater(0.02, self._wait_for_clients, left - 20_000)
        else:
            reactor.stop()

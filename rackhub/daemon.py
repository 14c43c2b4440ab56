"""Runs one coordinator as a process on Twisted's reactor: creates its components, starts them and shuts them down."""

import gc
import signal
import sys
from collections.abc import Callable, Iterable
from typing import Any

from twisted.internet import reactor as installed_reactor
from twisted.internet.defer import gatherResults
from twisted.internet.task import LoopingCall
from twisted.python.log import PythonLoggingObserver

from rackhub import components, interface, logs
from rackhub.clock import UnixClock
from rackhub.config import Config, parse_address
from rackhub.core.component import Component, ComponentContext
from rackhub.core.coordinator import Coordinator
from rackhub.core.engine_start_times import EngineStartTimes
from rackhub.core.lease import EndpointLease
from rackhub.core.source import Address, EndpointSnapshot, Source
from rackhub.core.timers import Timers
from rackhub.counters import Counters
from rackhub.limits import SECOND
from rackhub.net.jsonrpc import jsonrpc_front
from rackhub.net.listen import SharedPort
from rackhub.net.loop import ReactorWaker
from rackhub.net.platform_source import PlatformSource, ReloadedFile
from rackhub.net.resp import resp_pools
from rackhub.net.tds.engine import tds_pools
from rackhub.net.tds.front import tds_front
from rackhub.operatorfile import Operator

log = logs.logger(__name__)
reactor: Any = installed_reactor
SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGUSR1, signal.SIGHUP)
LISTEN_BACKLOG = 512  # connections
POOL_SWEEP_INTERVAL_S = 0.1
LINGER_CHECK_INTERVAL = 20_000  # microseconds between looks whether clients have closed
RESTART_FIELDS = ("name", "listen", "settings", "limits")  # of the configuration: a reload doesn't apply them


class Daemon:
    """One coordinator as a process: it serves, drains after SIGTERM and stops once all requests are answered."""

    def __init__(
        self,
        config: Config,
        operator: Operator,
        file_config: Config,
        read_config: Callable[[], Config],
        read_operator: Callable[[], Operator] | None = None,
    ):
        """Create the coordinator and its components. Raises `ComponentStartError`.

        `config` is used as it is; `file_config` is its file's content, which a reload compares with what
        `read_config` returns then. `read_operator` is None where there is no operator's file.
        """
        self.config = config
        self.counters = Counters()
        self._file_config = file_config
        self._read_config = read_config
        self._read_operator = read_operator
        self._clock = UnixClock()
        self.source: Source = self._create_source()
        self.core = self._create_coordinator()
        self.engines = self._create_engine_pools(operator)
        self.listeners = self._create_listeners(operator)
        self._ports: list[SharedPort] = []
        self._serving = False
        self._stopping = False
        self._listing: EndpointSnapshot | None = None
        self._starts = EngineStartTimes()
        self._context = self._create_context(operator)
        self.components: dict[str, Component] = self._context.components
        for name in components.enabled(config, operator):
            self.components[name] = components.load(name, self._context)

    def _create_source(self) -> Source:
        config = self.config
        return PlatformSource(
            reactor,
            config.settings,
            config.engines,
            config.nameserver,
            config.limits,
            self.counters,
            self._reread_file,
        )

    def _create_coordinator(self) -> Coordinator:
        timers = Timers(self._clock, ReactorWaker(reactor))
        return Coordinator(
            self.source.settings, self.config.seed, self._clock, timers, self.config.limits, self.counters
        )

    def _create_engine_pools(self, operator: Operator) -> Any:
        shared = (self._clock, self.config.limits, self.counters, self.core)
        if operator.tds_engines:
            return tds_pools(reactor, operator.tds_engines, *shared)
        return resp_pools(reactor, *shared)

    def _create_listeners(self, operator: Operator) -> list[tuple[Address, Any]]:
        """The address and the protocol factory of each listener for clients."""
        config = self.config
        listeners = [(config.listen, jsonrpc_front(self.core, config.limits, self.counters))]
        if operator.tds_front:
            tds_address = parse_address(operator.tds_front.listen, "tds_front.listen")
            listeners.append((tds_address, tds_front(operator.tds_front, self.core, config.limits, self.counters)))
        return listeners

    def _create_context(self, operator: Operator) -> ComponentContext:
        return ComponentContext(
            reactor,
            self._clock,
            self.config,
            operator,
            self.core,
            self.source,
            self.counters,
            lambda: self._serving and self.core.accepting,
            self._republish_endpoints,
            self._read_config,
        )

    def run(self) -> None:
        """Start, serve until the reactor stops and let go of all resources."""
        listing = self._start_core()
        self._handle_signals()
        self._listen()
        self._log_start(len(listing.entries))
        self._schedule_garbage_collection()
        reactor.run(installSignalHandlers=False)
        for component in reversed(self.components.values()):
            component.stop()
        self.print_summary()
        # Python restores the default handlers as it exits: a second signal would end the process as by a crash.
        for number in SIGNALS:
            signal.signal(number, signal.SIG_IGN)

    def _start_core(self) -> EndpointSnapshot:
        """Start the coordinator; returns the endpoint list that it starts with."""
        listing = self.source.initial_snapshot
        for component in self.components.values():
            listing = component.begin(listing)
        entries = self._visible_endpoints(listing)
        self.engines.update_endpoints(listing.addresses, entries)
        self.core.start(self.engines, entries, listing.revision)
        # Log errors in the reactor's callbacks, which would be lost otherwise.
        PythonLoggingObserver().start()  # type: ignore[no-untyped-call]
        self.core.lease = EndpointLease(self.config.limits, self.config.settings.drain_grace, self._clock.now())
        self.source.subscribe(self._endpoints_received, self.core)
        return listing

    def _handle_signals(self) -> None:
        """Install the handlers, before anyone can connect: an earlier signal would end the process."""
        handlers = (self._begin_shutdown, self._begin_shutdown, self.print_summary, self._reload)
        for number, handler in zip(SIGNALS, handlers, strict=True):
            signal.signal(number, lambda *_, handler=handler: reactor.callFromThread(handler))
        signal.pthread_sigmask(signal.SIG_UNBLOCK, SIGNALS)  # blocked by `rackhub.__main__`

    def _listen(self) -> None:
        for (host, port), factory in self.listeners:
            self._ports.append(SharedPort(reactor, host, port, factory, LISTEN_BACKLOG))
        for component in list(self.components.values()):  # a copy: the rules of one may load another
            component.open()
        self._serving = True
        LoopingCall(self.engines.sweep).start(POOL_SWEEP_INTERVAL_S, now=False)

    def _log_start(self, known_engines: int) -> None:
        log.info(
            "%s serves on %s, %d engines known",
            self.config.name,
            ", ".join(f"{host}:{port}" for (host, port), _ in self.listeners),
            known_engines,
        )

    def _schedule_garbage_collection(self) -> None:
        """Collect garbage by the clock, and without the objects of the start.

        Requests leave no reference cycles behind, but connections do, with their transports: their remains have to be
        collected, and the pauses have to be short.
        """
        gc.collect()
        gc.freeze()
        gc.disable()
        LoopingCall(gc.collect).start(self.config.limits.garbage_collection_interval / SECOND, now=False)

    def _endpoints_received(self, listing: EndpointSnapshot) -> None:
        self._publish_endpoints(listing)
        for component in self.components.values():
            component.endpoints_changed(listing)

    def _republish_endpoints(self) -> None:
        """Publish the last endpoint list again: a component has changed what is visible of it."""
        if self._listing is not None:
            self._publish_endpoints(self._listing)

    def _publish_endpoints(self, listing: EndpointSnapshot) -> None:
        # The coordinator first: it stops sending to a draining engine, so that what the pools return goes elsewhere.
        entries = self._visible_endpoints(listing)
        self.core.update_endpoints(entries, listing.revision)
        self.engines.update_endpoints(listing.addresses, entries)

    def _visible_endpoints(self, listing: EndpointSnapshot) -> tuple[interface.EngineEntry, ...]:
        """The endpoint list as the decision module is to see it."""
        self._listing = listing
        entries: Iterable[interface.EngineEntry] = self._starts.on_local_clock(listing.entries, self._clock.now())
        for component in self.components.values():
            entries = component.visible_endpoints(tuple(entries))
        return tuple(entries)

    def _reload(self) -> None:
        """Reload the platform's file, then the operator's.

        A component whose new settings can't be used keeps its old ones; what no component reloads takes a restart.
        """
        self.source.reload()
        if self._read_operator is None:
            return
        try:
            operator = self._read_operator()
            self._context.operator = operator
            added = self._load_added_components(operator)
        except ValueError as error:
            self.counters.add("operator_reloads_bad")
            log.error("reload: bad operator's file, the previous one stays in force: %s", error)
            return
        for component in list(self.components.values()):
            component.reload(operator)
        self.components.update(added)

    def _load_added_components(self, operator: Operator) -> dict[str, Component]:
        """Load the components that a reload turns on; open requests go on without them."""
        return {
            name: components.load(name, self._context)
            for name in components.enabled(self.config, operator)
            if name not in self.components and name in components.RELOADABLE
        }

    def _reread_file(self) -> ReloadedFile:
        """What a reload uses of the configuration; a warning names changes that take a restart."""
        config = self._read_config()
        changed = [name for name in RESTART_FIELDS if getattr(config, name) != getattr(self._file_config, name)]
        if changed:
            log.warning("reload: %s changed too, which takes a restart", ", ".join(changed))
        return ReloadedFile(config.nameserver, config.engines)

    def print_summary(self) -> None:
        """Print the counters and the components' summaries on standard error."""
        print(f"counters: {self.counters.line()}", file=sys.stderr, flush=True)
        for component in self.components.values():
            for line in component.summary_lines():
                print(line, file=sys.stderr, flush=True)

    def _begin_shutdown(self) -> None:
        """Reject new requests and answer the open ones; the process stops after the last answer."""
        if not self.core.accepting:
            return
        succeeded = any(component.has_successor() for component in self.components.values())
        # With a successor on the address a retry needn't wait.
        self.core.start_draining(0 if succeeded else self.config.settings.max_retry_after)
        log.info("shutting down: %d requests open", len(self.core.queries))
        for component in self.components.values():
            component.drain()
        if succeeded:
            self._hand_over()
        reactor.callLater(self.config.limits.drain_connections_delay / SECOND, self._drain_connections)
        reactor.callLater(self.config.limits.close_listeners_delay / SECOND, self._close_ports)

    def _hand_over(self) -> None:
        """Direct new connections to the successor, and close each client's connection with its next answer."""
        handed_over = [port.hand_over() for port in self._ports]
        for _, factory in self.listeners:
            factory.replaced = True
        log.info(
            "the process that replaces this one serves%s",
            " and receives all new connections" if all(handed_over) else "",
        )

    def _drain_connections(self) -> None:
        """Close each connection once it has no open request and no partly read one.

        Clients that keep their connections open would keep the process running. Requests that are still read reach the
        coordinator, which rejects them (`Coordinator.start_draining`).
        """
        for _, factory in self.listeners:
            factory.drain()

    def _close_ports(self) -> None:
        log.info("listeners_closed", open=len(self.core.queries))
        gatherResults([port.close() for port in self._ports]).addCallback(self._ports_closed)

    def _ports_closed(self, _: object) -> None:
        self._drain_connections()  # those that were accepted meanwhile too
        self.core.on_idle = self._idle
        if not self.core.queries:
            self._idle()

    def _idle(self) -> None:
        """Every request is answered. Called while the last answer is being written, so that the rest waits."""
        reactor.callLater(0, self._finish_shutdown)

    def _finish_shutdown(self) -> None:
        # A request may have come on an open connection; and several answers may each have been the last.
        if self.core.queries or self._stopping:
            return
        log.info("all_answered")
        self._stopping = True
        self.core.on_idle = None
        for _, factory in self.listeners:
            factory.end()
        self.engines.close_all()
        self._wait_for_clients(self.config.limits.linger_timeout)

    def _wait_for_clients(self, remaining: int) -> None:
        """Stop the reactor once clients have closed their connections, after `remaining` microseconds at the latest."""
        if remaining > 0 and any(factory.connections for _, factory in self.listeners):
            reactor.callLater(LINGER_CHECK_INTERVAL / SECOND, self._wait_for_clients, remaining - LINGER_CHECK_INTERVAL)
        else:
            reactor.stop()

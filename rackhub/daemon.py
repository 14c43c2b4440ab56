"""The process of one coordinator on Twisted's reactor: its start, reload and shutdown."""

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
from rackhub.net.front import input_scheduler
from rackhub.net.jsonrpc import jsonrpc_front
from rackhub.net.listen import SharedPort
from rackhub.net.loop import ReactorWaker
from rackhub.net.platform_source import PlatformSource, ReloadedFile
from rackhub.net.resp import resp_pools
from rackhub.net.tds.engine import tds_pools
from rackhub.net.tds.front import tds_front
from rackhub.net.tds.login_verifier import LoginVerifier, thread_worker
from rackhub.operatorfile import Operator

log = logs.logger(__name__)
reactor: Any = installed_reactor
SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGUSR1, signal.SIGHUP)
LISTEN_BACKLOG = 512  # connections
POOL_SWEEP_INTERVAL_S = 0.1  # seconds
LINGER_CHECK_INTERVAL = 20_000  # microseconds between two checks whether clients have closed their connections
RESTART_FIELDS = ("name", "listen", "settings", "limits")  # a change of these fields is reported as requiring a restart


class Daemon:
    """One coordinator process: it serves, drains after SIGTERM and stops when all requests are answered."""

    def __init__(
        self,
        config: Config,
        operator: Operator,
        file_config: Config,
        read_config: Callable[[], Config],
        read_operator: Callable[[], Operator] | None = None,
    ):
        """Create the coordinator and its components. Raises `ComponentStartError`.

        Args:
            config: the configuration, with the limits divided between the listeners and the store.
            operator: the content of the operator's file.
            file_config: the configuration as in its file; a reload compares it with the new content.
            read_config: reads the configuration file again.
            read_operator: reads the operator's file again; None if there is none.
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
        self._listening_sockets: list[SharedPort] = []
        self._serving = False
        self._stopping = False
        self._last_snapshot: EndpointSnapshot | None = None
        self._start_times = EngineStartTimes()
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
            self._reread_config,
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
        """Return the address and the protocol factory of each listener for clients."""
        config = self.config
        scheduler = input_scheduler(self.core, config.limits)
        listeners = [(config.listen, jsonrpc_front(self.core, config.limits, self.counters, scheduler))]
        if operator.tds_front:
            tds_address = parse_address(operator.tds_front.listen, "tds_front.listen")
            verifier = LoginVerifier(operator.tds_front, thread_worker(reactor.callFromThread))
            front = tds_front(
                operator.tds_front, self.core, config.limits, self.counters, scheduler=scheduler, verifier=verifier
            )
            listeners.append((tds_address, front))
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
        """Start, serve until the reactor stops, then release all resources."""
        snapshot = self._start_core()
        self._install_signal_handlers()
        self._listen()
        self._log_start(len(snapshot.entries))
        self._schedule_garbage_collection()
        reactor.run(installSignalHandlers=False)
        for component in reversed(self.components.values()):
            component.stop()
        self.print_summary()
        # At exit Python restores the default handlers: a second signal would end the process with an error status.
        for number in SIGNALS:
            signal.signal(number, signal.SIG_IGN)

    def _start_core(self) -> EndpointSnapshot:
        """Start the coordinator; return its initial endpoint list."""
        snapshot = self.source.initial_snapshot
        for component in self.components.values():
            snapshot = component.begin(snapshot)
        entries = self._visible_endpoints(snapshot)
        self.engines.update_endpoints(snapshot.addresses, entries)
        self.core.start(self.engines, entries, snapshot.revision)
        # Without this observer, errors in the reactor's callbacks would not be logged.
        PythonLoggingObserver().start()  # type: ignore[no-untyped-call]
        self.core.lease = EndpointLease(self.config.limits, self.config.settings.drain_grace, self._clock.now())
        self.source.subscribe(self._endpoints_received, self.core)
        return snapshot

    def _install_signal_handlers(self) -> None:
        """Install the signal handlers, before clients can connect: without handlers a signal would end the process."""
        handlers = (self._begin_shutdown, self._begin_shutdown, self.print_summary, self._reload)
        for number, handler in zip(SIGNALS, handlers, strict=True):
            signal.signal(number, lambda *_, handler=handler: reactor.callFromThread(handler))
        signal.pthread_sigmask(signal.SIG_UNBLOCK, SIGNALS)  # `rackhub.__main__` has blocked SIGHUP and SIGUSR1

    def _listen(self) -> None:
        for (host, port), factory in self.listeners:
            self._listening_sockets.append(SharedPort(reactor, host, port, factory, LISTEN_BACKLOG, gate=factory))
        # A copy, because the fleet's rule set may load the timings component meanwhile.
        for component in list(self.components.values()):
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
        """Collect garbage at a fixed interval, excluding the objects created at the start.

        Requests leave no reference cycles, but connections with their transports do. A collection at short intervals
        finds few objects and pauses the process only briefly.
        """
        gc.collect()
        gc.freeze()
        gc.disable()
        LoopingCall(gc.collect).start(self.config.limits.garbage_collection_interval / SECOND, now=False)

    def _endpoints_received(self, snapshot: EndpointSnapshot) -> None:
        self._publish_endpoints(snapshot)
        for component in self.components.values():
            component.endpoints_changed(snapshot)

    def _republish_endpoints(self) -> None:
        """Publish the last endpoint list again: a component's `visible_endpoints` has changed."""
        if self._last_snapshot is not None:
            self._publish_endpoints(self._last_snapshot)

    def _publish_endpoints(self, snapshot: EndpointSnapshot) -> None:
        # The coordinator first: attempts that the pools return from a draining engine are then retried elsewhere.
        entries = self._visible_endpoints(snapshot)
        self.core.update_endpoints(entries, snapshot.revision)
        self.engines.update_endpoints(snapshot.addresses, entries)

    def _visible_endpoints(self, snapshot: EndpointSnapshot) -> tuple[interface.EngineEntry, ...]:
        """Return the endpoint list for the routing policy, with converted start times and the components' changes."""
        self._last_snapshot = snapshot
        entries: Iterable[interface.EngineEntry] = self._start_times.convert(snapshot.entries, self._clock.now())
        for component in self.components.values():
            entries = component.visible_endpoints(tuple(entries))
        return tuple(entries)

    def _reload(self) -> None:
        """Reload the configuration file, then the operator's file, on SIGHUP.

        A component keeps its previous settings if the new ones are invalid. Settings that no component reloads require
        a restart.
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
            log.error("reload: operator's file rejected, no component was reloaded: %s", error)
            return
        for component in list(self.components.values()):
            component.reload(operator)
        self.components.update(added)

    def _load_added_components(self, operator: Operator) -> dict[str, Component]:
        """Load the components that a reload enables; they don't affect requests that are open already."""
        return {
            name: components.load(name, self._context)
            for name in components.enabled(self.config, operator)
            if name not in self.components and name in components.RELOADABLE
        }

    def _reread_config(self) -> ReloadedFile:
        """Return the fields of the configuration file that a reload applies; warn of changes that require a restart."""
        config = self._read_config()
        changed = [name for name in RESTART_FIELDS if getattr(config, name) != getattr(self._file_config, name)]
        if changed:
            log.warning("reload: %s changed too, which takes a restart", ", ".join(changed))
        return ReloadedFile(config.nameserver, config.engines)

    def print_summary(self) -> None:
        """Print the counters and the components' summaries to standard error."""
        print(f"counters: {self.counters.summary()}", file=sys.stderr, flush=True)
        for component in self.components.values():
            for line in component.summary_lines():
                print(line, file=sys.stderr, flush=True)

    def _begin_shutdown(self) -> None:
        """Reject new requests, and stop once all open requests are answered.

        Open connections are drained after `drain_connections_delay`, and the listening sockets are closed after
        `close_listeners_delay`. When no request is open, all connections are closed, and the process waits up to
        `linger_timeout` for the clients to close theirs.
        """
        if not self.core.accepting:
            return
        is_replaced = any(component.has_successor() for component in self.components.values())
        # A successor serves on the same address, so that clients may retry at once (Retry-After 0).
        self.core.start_draining(0 if is_replaced else self.config.settings.max_retry_after)
        log.info("shutting down: %d requests open", len(self.core.queries))
        for component in self.components.values():
            component.drain()
        if is_replaced:
            self._hand_over()
        reactor.callLater(self.config.limits.drain_connections_delay / SECOND, self._drain_connections)
        reactor.callLater(self.config.limits.close_listeners_delay / SECOND, self._close_listening_sockets)

    def _hand_over(self) -> None:
        """Direct new connections to the successor, and close each client's connection after its next answer."""
        handed_over = [listening_socket.hand_over() for listening_socket in self._listening_sockets]
        for _, factory in self.listeners:
            factory.replaced = True
        log.info(
            "successor is running%s",
            " and receives all new connections" if all(handed_over) else "",
        )

    def _drain_connections(self) -> None:
        """Close each connection once it has no open and no partially received request.

        Otherwise clients that keep their connections open would keep the process running. The coordinator rejects the
        requests that still arrive (`Coordinator.start_draining`).
        """
        for _, factory in self.listeners:
            factory.drain()

    def _close_listening_sockets(self) -> None:
        log.info("listeners_closed", open=len(self.core.queries))
        gatherResults([listening_socket.close() for listening_socket in self._listening_sockets]).addCallback(
            self._listening_sockets_closed
        )

    def _listening_sockets_closed(self, _: object) -> None:
        self._drain_connections()  # again, for connections accepted since the first call
        self.core.on_idle = self._last_request_answered
        if not self.core.queries:
            self._last_request_answered()

    def _last_request_answered(self) -> None:
        """Schedule the end of the shutdown. The answer to the last open request is still being written."""
        reactor.callLater(0, self._finish_shutdown)

    def _finish_shutdown(self) -> None:
        # Another request may have arrived meanwhile, and `_last_request_answered` may have been called before.
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

"""A test harness for the replacement of one coordinator process by another on the same port, under traffic.

Clients and engine stand-ins run in the reactor of the test; the coordinators are real processes. Each request is
tracked until it is answered. If a connection is closed before a request on it is answered, the client sends the
request again, as the protocol demands from clients of a coordinator that shuts down.
"""

import base64
import itertools
import json
import os
import random
import signal
import subprocess
import sys
import time

from harness import EngineServer, RespEngine
from ports import hold_port
from real_process import READY, ResolverStandIn
from test_config import SETTINGS, endpoint, platform_config, watch_notice
from twisted.internet import reactor
from twisted.internet.protocol import ClientFactory
from twisted.protocols.basic import LineOnlyReceiver

ROWS = b"a\tb\tc\n"
READERS = SETTINGS | {"FamilyInfo": {"Dop": [1], "KindCores": [8, 16], "RanksHeeded": True}}


class Request:
    """One request of a client and the answers to it."""

    def __init__(self, number):
        self.rid, self.answers = f"{number:016x}", []


class Client(LineOnlyReceiver):
    """One connection of a client; if `persistent`, it is kept for further requests, otherwise closed after one."""

    delimiter, MAX_LENGTH = b"\n", 1 << 20

    def __init__(self, traffic, persistent):
        self.traffic, self.persistent, self.open_requests, self.ids, self.is_lost = (
            traffic,
            persistent,
            {},
            itertools.count(1),
            False,
        )

    def connectionMade(self):
        self.transport.setTcpNoDelay(True)
        self.traffic.connections.add(self)
        self.send(self.traffic.next_request())

    def send(self, request):
        number = next(self.ids)
        self.open_requests[number] = request
        params = {"rid": request.rid, "budget": 2500, "acct": "acme", "body": self.traffic.body}
        self.sendLine(json.dumps({"jsonrpc": "2.0", "id": number, "method": "lookup", "params": params}).encode())

    def lineReceived(self, line):
        message = json.loads(line)
        request = self.open_requests.pop(message["id"])
        request.answers.append(message)
        if not self.persistent or not self.traffic.running:
            return self.transport.loseConnection()
        self.traffic.call_later(self.send_next)

    def send_next(self):
        if not self.is_lost and self.traffic.running:
            self.send(self.traffic.next_request())

    def connectionLost(self, reason=None):
        self.is_lost = True
        self.traffic.connections.discard(self)
        self.traffic.unanswered += [
            (request, self.traffic.reached_engine(request)) for request in self.open_requests.values()
        ]
        self.traffic.to_resend += self.open_requests.values()
        if self.traffic.running or self.traffic.to_resend:
            self.traffic.call_later(self.traffic.connect, self.persistent)


class Traffic:
    """Clients that send requests until they are stopped.

    `persistent_clients` of them keep their connections, `one_request_clients` connect anew for each request. `pause`
    is the mean time in seconds between an answer and the client's next request.
    """

    def __init__(self, port, engines, persistent_clients, one_request_clients, pause):
        self.port, self.engines, self.pause, self.running = port, engines, pause, True
        self.requests, self.to_resend, self.unanswered, self.failed_connects = [], [], [], 0
        self.connections, self.timers = set(), set()
        self.body = base64.b64encode(b"SELECT 1 FROM r_3.t").decode()
        self.random_source, self.persistent_clients, self.one_request_clients = (
            random.Random(7),
            persistent_clients,
            one_request_clients,
        )

    def begin(self):
        for number in range(self.persistent_clients + self.one_request_clients):
            self.call_later(self.connect, number < self.persistent_clients)

    def reached_engine(self, request):
        """Whether a coordinator has sent the request to an engine."""
        return any(request.rid.encode() in engine.received_ids for engine in self.engines)

    def lost(self):
        """Return the ids of requests that were sent to an engine and whose connection closed without an answer."""
        return [request.rid for request, reached_engine in self.unanswered if reached_engine]

    def next_request(self):
        if self.to_resend:
            return self.to_resend.pop()
        self.requests.append(Request(len(self.requests) + 1))
        return self.requests[-1]

    def call_later(self, call, *args):
        self.timers.add(reactor.callLater(self.pause * self.random_source.uniform(0.2, 1.8), call, *args))
        self.timers = {timer for timer in self.timers if timer.active()}

    def connect(self, persistent):
        factory = ClientFactory()
        factory.noisy, factory.protocol = False, lambda: Client(self, persistent)
        factory.clientConnectionFailed = lambda *_: self.connect_failed(persistent)
        if self.running or self.to_resend:
            reactor.connectTCP("127.0.0.1", self.port, factory)

    def connect_failed(self, persistent):
        self.failed_connects += 1
        self.call_later(self.connect, persistent)

    def stop(self):
        """Send no new requests and wait until all sent requests are answered."""
        self.running = False
        wait_until(lambda: all(request.answers for request in self.requests))

    def abort(self):
        self.running = False
        self.to_resend.clear()
        for connection in list(self.connections):
            connection.transport.abortConnection()
        wait_until(lambda: not self.connections)
        for timer in self.timers:
            if timer.active():
                timer.cancel()


class DelayedEngine(EngineServer):
    """An engine stand-in that answers each request after `delay` seconds and records the request ids."""

    def __init__(self, delay):
        super().__init__(RespEngine, self.handle_command)
        self.delay, self.received_ids = delay, []

    def handle_command(self, connection, command, id, *arguments):
        if command == b"want":
            self.received_ids.append(id)
            reactor.callLater(self.delay, connection.respond, id, b"200", b"chunks=1", ROWS)


def start_resolver(engines):
    """Start a resolver that reports these engines; without it an endpoint list is valid for some seconds only."""
    return ResolverStandIn(
        *((f"e{i}", "127.0.0.1", READY, 0, engine.port.getHost().port) for i, engine in enumerate(engines))
    )


class CoordinatorProcess:
    """A coordinator process."""

    def __init__(self, directory, name, listen_port, engines, nameserver, program=("-m", "rackhub")):
        self.operator_port = hold_port()
        entries = [
            endpoint(f"e{i}") | {"address": f"127.0.0.1:{engine.port.getHost().port}"}
            for i, engine in enumerate(engines)
        ]
        config = platform_config(
            listen=f"127.0.0.1:{listen_port}",
            nameserver=nameserver,
            settings=READERS,
            operator=f"127.0.0.1:{self.operator_port}",
            known={"rev": 3, "notices": [watch_notice(3, *entries)]},
        )
        path = directory / f"{name}.json"
        path.write_text(json.dumps(config))
        self.log = open(directory / f"{name}.log", "w+")
        self.child = subprocess.Popen(
            [sys.executable, *program, "serve", "--config", str(path)],
            stderr=self.log,
            stdout=self.log,
            env=os.environ | {"TMPDIR": str(directory)},
        )

    def send_command(self, command):
        """Send a command to the operators' address and return the response, "" if the connection fails."""
        responses = []

        class CommandConnection(LineOnlyReceiver):
            delimiter = b"\n"

            def connectionMade(self):
                self.sendLine(command.encode())

            def lineReceived(self, line):
                responses.append(line.decode().strip())

            def connectionLost(self, reason=None):
                responses.append("")

        factory = ClientFactory()
        factory.noisy, factory.protocol = False, CommandConnection
        factory.clientConnectionFailed = lambda *_: responses.append("")
        reactor.connectTCP("127.0.0.1", self.operator_port, factory)
        wait_until(lambda: responses)
        return responses[0]

    def wait_until_serving(self):
        def is_serving():
            assert self.child.poll() is None, self.log_text()
            return self.send_command("HEALTH").startswith("YES")

        wait_until(is_serving)
        return self

    def terminate(self):
        self.child.send_signal(signal.SIGTERM)

    def wait_for_exit(self):
        wait_until(lambda: self.child.poll() is not None)
        return self.child.returncode

    def log_text(self):
        self.log.flush()
        self.log.seek(0)
        return self.log.read()

    def close(self):
        if self.child.poll() is None:
            self.child.kill()
            self.child.wait(30)
        self.log.close()


def wait_until(condition, seconds=60):
    """Run the reactor until the condition is true; fails after `seconds`.

    The time limit is generous for a busy machine: it only ends tests that hang.
    """
    end = time.monotonic() + seconds
    while not condition():
        assert time.monotonic() < end, f"the condition did not become true within {seconds} s"
        reactor.iterate(0.01)


def run_reactor_for(seconds):
    """Run the reactor for a while, so that the traffic continues."""
    done = []
    reactor.callLater(seconds, done.append, 1)
    wait_until(lambda: done)

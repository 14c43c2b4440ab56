"""Two processes of the program on one client port, under traffic, while one takes the other's place.

Traffic runs in the test's own reactor against stand-in engines; the coordinators are real processes. Every request is
followed from its last byte to its answer: what a connection closes on before it is answered was turned back, and its
client sends it again, as PROTOCOL says of clients that find a coordinator going.
"""

import base64
import itertools
import json
import os
import random
import signal
import socket
import subprocess
import sys
import time

from harness import EngineServer, RespEngine
from real_process import READY, ResolverStandIn
from test_config import SETTINGS, endpoint, platform_config, watch_notice
from twisted.internet import reactor
from twisted.internet.protocol import ClientFactory
from twisted.protocols.basic import LineOnlyReceiver

ROWS = b"a\tb\tc\n"
READERS = SETTINGS | {"FamilyInfo": {"Dop": [1], "KindCores": [8, 16], "RanksHeeded": True}}


class Request:
    """One request of one client, and its answers."""

    def __init__(self, number):
        self.rid, self.answers = f"{number:016x}", []


class Caller(LineOnlyReceiver):
    """One connection of a client. `keeps` it for the next request, or closes it after each answer."""

    delimiter, MAX_LENGTH = b"\n", 1 << 20

    def __init__(self, traffic, keeps):
        self.traffic, self.keeps, self.open, self.ids, self.gone = traffic, keeps, {}, itertools.count(1), False

    def connectionMade(self):
        self.transport.setTcpNoDelay(True)
        self.traffic.connections.add(self)
        self.send(self.traffic.next())

    def send(self, request):
        number = next(self.ids)
        self.open[number] = request
        params = {"rid": request.rid, "budget": 2500, "acct": "acme", "body": self.traffic.body}
        self.sendLine(json.dumps({"jsonrpc": "2.0", "id": number, "method": "lookup", "params": params}).encode())

    def lineReceived(self, line):
        message = json.loads(line)
        request = self.open.pop(message["id"])
        request.answers.append(message)
        if not self.keeps or not self.traffic.on:
            return self.transport.loseConnection()
        self.traffic.later(self.again)

    def again(self):
        if not self.gone and self.traffic.on:
            self.send(self.traffic.next())

    def connectionLost(self, reason=None):
        self.gone = True
        self.traffic.connections.discard(self)
        self.traffic.turned_back += [(request, self.traffic.at_engines(request)) for request in self.open.values()]
        self.traffic.waiting += self.open.values()
        if self.traffic.on or self.traffic.waiting:
            self.traffic.later(self.traffic.dial, self.keeps)


class Traffic:
    """Clients that go on until they are told to stop: `keeping` hold their connections, `passing` dial for each."""

    def __init__(self, port, engines, keeping, passing, pause):
        self.port, self.engines, self.pause, self.on = port, engines, pause, True
        self.requests, self.waiting, self.turned_back, self.no_way_in = [], [], [], 0
        self.connections, self.calls = set(), set()
        self.body = base64.b64encode(b"SELECT 1 FROM r_3.t").decode()
        self.draw, self.keeping, self.passing = random.Random(7), keeping, passing

    def begin(self):
        for number in range(self.keeping + self.passing):
            self.later(self.dial, number < self.keeping)

    def at_engines(self, request):
        """Whether a coordinator has taken it up: an engine has heard of it."""
        return any(request.rid.encode() in engine.taken for engine in self.engines)

    def lost(self):
        """Requests that a coordinator had sent to an engine when it closed on their client without an answer."""
        return [request.rid for request, taken in self.turned_back if taken]

    def next(self):
        if self.waiting:
            return self.waiting.pop()
        self.requests.append(Request(len(self.requests) + 1))
        return self.requests[-1]

    def later(self, call, *args):
        self.calls.add(reactor.callLater(self.pause * self.draw.uniform(0.2, 1.8), call, *args))
        self.calls = {each for each in self.calls if each.active()}

    def dial(self, keeps):
        factory = ClientFactory()
        factory.noisy, factory.protocol = False, lambda: Caller(self, keeps)
        factory.clientConnectionFailed = lambda *_: self.failed(keeps)
        if self.on or self.waiting:
            reactor.connectTCP("127.0.0.1", self.port, factory)

    def failed(self, keeps):
        self.no_way_in += 1
        self.later(self.dial, keeps)

    def stop(self):
        """No new requests; wait until all that were sent have their answers."""
        self.on = False
        wait_until(lambda: all(request.answers for request in self.requests))

    def abandon(self):
        self.on = False
        self.waiting.clear()
        for connection in list(self.connections):
            connection.transport.abortConnection()
        wait_until(lambda: not self.connections)
        for call in self.calls:
            if call.active():
                call.cancel()


class DelayedEngine(EngineServer):
    """A stand-in that answers each query after a while and notes when it took each."""

    def __init__(self, pause):
        super().__init__(RespEngine, self.answer)
        self.pause, self.taken = pause, []

    def answer(self, connection, word, id, *rest):
        if word == b"want":
            self.taken.append(id)
            reactor.callLater(self.pause, connection.respond, id, b"200", b"chunks=1", ROWS)


def free_ports(count):
    held = [socket.socket() for _ in range(count)]
    for one in held:
        one.bind(("127.0.0.1", 0))
    ports = [one.getsockname()[1] for one in held]
    for one in held:
        one.close()
    return ports


def start_resolver(engines):
    """A resolver that tells of these engines: without one, a list is in force for some seconds only."""
    return ResolverStandIn(
        *((f"e{i}", "127.0.0.1", READY, 0, engine.port.getHost().port) for i, engine in enumerate(engines))
    )


class CoordinatorProcess:
    """One process of the program. `send_command` calls its second address."""

    def __init__(self, place, name, listen, engines, nameserver, program=("-m", "rackhub")):
        self.operator_port = free_ports(1)[0]
        entries = [
            endpoint(f"e{i}") | {"address": f"127.0.0.1:{engine.port.getHost().port}"}
            for i, engine in enumerate(engines)
        ]
        config = platform_config(
            listen=f"127.0.0.1:{listen}",
            nameserver=nameserver,
            settings=READERS,
            operator=f"127.0.0.1:{self.operator_port}",
            known={"rev": 3, "notices": [watch_notice(3, *entries)]},
        )
        path = place / f"{name}.json"
        path.write_text(json.dumps(config))
        self.log = open(place / f"{name}.log", "w+")
        self.child = subprocess.Popen(
            [sys.executable, *program, "serve", "--config", str(path)],
            stderr=self.log,
            stdout=self.log,
            env=os.environ | {"TMPDIR": str(place)},
        )

    def send_command(self, words):
        """One call at the second address, and its answer; "" where nobody listens."""
        heard = []

        class Call(LineOnlyReceiver):
            delimiter = b"\n"

            def connectionMade(self):
                self.sendLine(words.encode())

            def lineReceived(self, line):
                heard.append(line.decode().strip())

            def connectionLost(self, reason=None):
                heard.append("")

        factory = ClientFactory()
        factory.noisy, factory.protocol = False, Call
        factory.clientConnectionFailed = lambda *_: heard.append("")
        reactor.connectTCP("127.0.0.1", self.operator_port, factory)
        wait_until(lambda: heard)
        return heard[0]

    def wait_until_serving(self):
        def serving():
            assert self.child.poll() is None, self.log_text()
            return self.send_command("HEALTH").startswith("YES")

        wait_until(serving)
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
    """Turn the reactor until the condition holds, however many turns the traffic makes of it; that it never does is a
    failure. The bound is for a machine that does ten things at once: nothing is judged by it."""
    end = time.monotonic() + seconds
    while not condition():
        assert time.monotonic() < end, "it did not come about"
        reactor.iterate(0.01)


def run_reactor_for(seconds):
    """Turn the reactor for a while: traffic goes on."""
    done = []
    reactor.callLater(seconds, done.append, 1)
    wait_until(lambda: done)

"""Two processes of a coordinator on one client port while one replaces the other."""

import os
import socket

import pytest
from twisted.internet import defer
from twisted.internet.error import CannotListenError

from rackhub.net.listen import SharedPort


class AdoptingReactor:
    """A reactor that duplicates the descriptors of adopted sockets, and accepts no connections by itself.

    Twisted's port does the same in an event-loop iteration in which it has reached its maximum.
    """

    def __init__(self):
        self.listening = self.adopted = None

    def adoptStreamPort(self, fd, family, factory):  # noqa: N802 - Twisted's name
        self.listening, self.adopted = socket.socket(family, socket.SOCK_STREAM, fileno=os.dup(fd)), []
        return self

    def adoptStreamConnection(self, fd, family, factory):  # noqa: N802 - Twisted's name
        self.adopted.append(socket.socket(family, socket.SOCK_STREAM, fileno=os.dup(fd)))

    def stopListening(self):  # noqa: N802 - Twisted's name
        self.listening.close()
        return defer.succeed(None)

    def accept(self):
        """Accept the queued connections and return their number."""
        self.listening.setblocking(False)
        count = 0
        while True:
            try:
                self.listening.accept()[0].close()
            except BlockingIOError:
                return count
            count += 1


class SharedAddress:
    """A port with the processes that share it."""

    def __init__(self):
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            self.port = probe.getsockname()[1]
        self.reactors, self.ports = [], []

    def process(self):
        reactor = AdoptingReactor()
        self.ports.append(SharedPort(reactor, "127.0.0.1", self.port, None, 128))
        self.reactors.append(reactor)
        return reactor, self.ports[-1]

    def connect(self, count):
        return [socket.create_connection(("127.0.0.1", self.port)) for _ in range(count)]

    def count_accepted(self, *reactors):
        """Return how many of 64 connections the kernel gives to each process."""
        clients = self.connect(64)
        counts = [reactor.accept() for reactor in reactors]
        for client in clients:
            client.close()
        assert sum(counts) == 64
        return counts


@pytest.fixture
def address():
    shared = SharedAddress()
    yield shared
    for reactor, port in zip(shared.reactors, shared.ports, strict=True):
        port._socket.close()
        for each in (reactor.listening, *reactor.adopted):
            each.close()


def test_two_processes_share_new_connections(address):
    old, _ = address.process()
    new, _ = address.process()
    # The kernel distributes by hash: all go to one process with a probability of 2**-63.
    assert min(address.count_accepted(old, new)) > 0


def test_hand_over_directs_new_connections_to_the_second_process_until_a_third_binds(address):
    old, port = address.process()
    assert port.hand_over()
    assert address.count_accepted(old) == [64]  # There is no second process yet.
    new, second = address.process()
    assert min(address.count_accepted(old, new)) > 0  # Its start detaches the program.
    assert port.hand_over()
    assert address.count_accepted(old, new) == [0, 64]
    port.close()
    assert address.count_accepted(new) == [64]
    third, _ = address.process()
    assert min(address.count_accepted(new, third)) > 0
    assert second.hand_over()
    assert address.count_accepted(new, third) == [0, 64]


def test_queued_connections_are_accepted_before_the_socket_closes(address):
    """Guards against connections that are reset because they are still queued when Twisted's port closes.

    The port accepts as many connections in an iteration as in the one before, and closes one iteration later. Up to six
    connections per replacement, made within 0.9 s after SIGTERM, were reset.
    """
    old, port = address.process()
    clients = address.connect(40)
    for client in clients:
        client.sendall(b"hello")
    port.close()
    assert len(old.adopted) == 40
    received = [adopted.recv(16) for adopted in old.adopted]
    assert received == [b"hello"] * 40
    for client in clients:
        client.close()
    with pytest.raises(ConnectionRefusedError):
        address.connect(1)


def test_binding_an_address_in_use_without_reuseport_fails_and_names_the_port(address):
    with socket.socket() as other:
        other.bind(("127.0.0.1", address.port))
        other.listen(1)
        with pytest.raises(CannotListenError, match=str(address.port)):
            address.process()

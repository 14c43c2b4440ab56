"""Two processes of one coordinator on one client port while one replaces the other."""

import os
import socket

import pytest
from twisted.internet import defer
from twisted.internet.error import CannotListenError

from rackhub.net.listen import SharedPort


class Adopting:
    """What the reactor does with sockets handed to it: keeps a copy of their descriptor. It accepts nothing itself,
    as Twisted's port does whose bound for a turn is reached."""

    def __init__(self):
        self.listening = self.taken = None

    def adoptStreamPort(self, fd, family, factory):  # noqa: N802 - Twisted's name
        self.listening, self.taken = socket.socket(family, socket.SOCK_STREAM, fileno=os.dup(fd)), []
        return self

    def adoptStreamConnection(self, fd, family, factory):  # noqa: N802 - Twisted's name
        self.taken.append(socket.socket(family, socket.SOCK_STREAM, fileno=os.dup(fd)))

    def stopListening(self):  # noqa: N802 - Twisted's name
        self.listening.close()
        return defer.succeed(None)

    def accept(self):
        """How many connections wait in the queue; they are taken."""
        self.listening.setblocking(False)
        count = 0
        while True:
            try:
                self.listening.accept()[0].close()
            except BlockingIOError:
                return count
            count += 1


class Place:
    """A port, and the processes that share it."""

    def __init__(self):
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            self.port = probe.getsockname()[1]
        self.reactors, self.ports = [], []

    def process(self):
        reactor = Adopting()
        self.ports.append(SharedPort(reactor, "127.0.0.1", self.port, None, 128))
        self.reactors.append(reactor)
        return reactor, self.ports[-1]

    def dial(self, count):
        return [socket.create_connection(("127.0.0.1", self.port)) for _ in range(count)]

    def spread(self, *reactors):
        """How 64 connections are spread over the processes."""
        clients = self.dial(64)
        counts = [reactor.accept() for reactor in reactors]
        for client in clients:
            client.close()
        assert sum(counts) == 64
        return counts


@pytest.fixture
def place():
    here = Place()
    yield here
    for reactor, port in zip(here.reactors, here.ports, strict=True):
        port._socket.close()
        for each in (reactor.listening, *reactor.taken):
            each.close()


def test_a_second_process_binds_beside_the_first_and_both_take_connections(place):
    old, _ = place.process()
    new, _ = place.process()
    assert min(place.spread(old, new)) > 0  # by hash: all on one side is a chance of 1 in 2**63


def test_newcomers_are_handed_over_to_the_second_process_and_the_third_starts_from_a_spread(place):
    old, port = place.process()
    assert port.hand_over()
    assert place.spread(old) == [64]  # nobody is there to hand them to
    new, second = place.process()
    assert min(place.spread(old, new)) > 0  # its start undoes the choice
    assert port.hand_over()
    assert place.spread(old, new) == [0, 64]
    port.close()
    assert place.spread(new) == [64]
    third, _ = place.process()
    assert min(place.spread(new, third)) > 0
    assert second.hand_over()
    assert place.spread(new, third) == [0, 64]


def test_what_waits_in_the_queue_is_taken_before_the_socket_closes(place):
    """Twisted's port takes as many connections a turn as it took the turn before, and closes a turn later: of those
    that came within 0.9 s after SIGTERM up to six in a replacement were reset."""
    old, port = place.process()
    clients = place.dial(40)
    for client in clients:
        client.sendall(b"hello")
    port.close()
    assert len(old.taken) == 40
    heard = [taken.recv(16) for taken in old.taken]
    assert heard == [b"hello"] * 40
    for client in clients:
        client.close()
    with pytest.raises(ConnectionRefusedError):
        place.dial(1)


def test_an_address_held_without_sharing_is_a_fault_that_names_it(place):
    with socket.socket() as other:
        other.bind(("127.0.0.1", place.port))
        other.listen(1)
        with pytest.raises(CannotListenError, match=str(place.port)):
            place.process()

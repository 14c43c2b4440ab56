"""Two processes of one coordinator on one client port while one replaces the other."""

import os
import socket

import pytest
from twisted.internet.error import CannotListenError

from rackhub.net.listen import listen_shared


class Adopting:
    """What the reactor does with a listening socket handed to it: keeps a copy of its descriptor."""

    def adoptStreamPort(self, fd, family, factory):  # noqa: N802 - Twisted's name
        return socket.socket(family, socket.SOCK_STREAM, fileno=os.dup(fd))


def free_port() -> int:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def test_a_second_process_binds_beside_the_first_and_both_take_connections():
    port = free_port()
    old = listen_shared(Adopting(), "127.0.0.1", port, None, 16)
    new = listen_shared(Adopting(), "127.0.0.1", port, None, 16)
    try:
        assert old.getsockname() == new.getsockname() == ("127.0.0.1", port)
        clients = [socket.create_connection(("127.0.0.1", port)) for _ in range(16)]
        taken = 0
        for listening in (old, new):
            listening.setblocking(False)
            while True:
                try:
                    conn, _ = listening.accept()
                except BlockingIOError:
                    break
                conn.close()
                taken += 1
        assert taken == 16  # none refused: the kernel spread them over the two
        for client in clients:
            client.close()
    finally:
        old.close()
        new.close()


def test_an_address_held_without_sharing_is_a_fault_that_names_it():
    port = free_port()
    with socket.socket() as other:
        other.bind(("127.0.0.1", port))
        other.listen(1)
        with pytest.raises(CannotListenError, match=str(port)):
            listen_shared(Adopting(), "127.0.0.1", port, None, 16)

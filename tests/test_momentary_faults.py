"""Transient failures of accept in a real process, with the errors that Linux documents: no request is lost."""

import errno

import pytest
from real_process import EngineStandIn, ResolverStandIn, Served, request, until
from test_config import SETTINGS as SITE

from rackhub.net.listen import DelayedReservation

FAILING = """
import os, socket
left = [{count}]
inner = socket.socket.{call}
def failing(self, *arguments):
    if left[0]:
        left[0] -= 1
        raise OSError({number}, os.strerror({number}))
    return inner(self, *arguments)
socket.socket.{call} = failing
"""


@pytest.mark.parametrize(
    "call, number",
    [
        ("accept", errno.ECONNABORTED),
        ("accept", errno.EMFILE),
        ("accept", errno.ENFILE),
        ("accept", errno.ENOBUFS),
        ("accept", errno.ENOMEM),
    ],
)
def test_client_is_answered_after_accept_has_failed_three_times(tmp_path, things, call, number):
    engine = things(EngineStandIn("a").start())
    resolver = things(ResolverStandIn(engine.entry()))
    prelude = FAILING.format(call=call, number=number, count=3)
    process = things(Served(tmp_path, resolver, engine, prelude=prelude, settings=SITE))
    client = things(process.client())
    client.send(request(1, budget=2_000))
    until(lambda: 1 in client.answers, "an answer")
    (answer,) = client.answers[1]
    assert "result" in answer or answer["error"]["code"] == -32008  # rejected if the event loop is late


class AlwaysAvailable:
    def available(self):
        return True


def test_reserved_descriptor_is_not_available_until_the_shortage_has_lasted():
    now = [0.0]
    reservation = DelayedReservation(AlwaysAvailable(), lambda: now[0])
    results = []
    for now[0] in (10.0, 10.05, 10.25, 10.5, 10.75 + DelayedReservation.SHORTAGE_GAP_S):
        results.append(reservation.available())
    assert results == [False, False, True, True, False]

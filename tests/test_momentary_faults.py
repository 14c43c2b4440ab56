"""System calls that fail for a moment under a real process, as Linux documents them: nobody loses a request by it."""

import errno

import pytest
from real_process import EngineStandIn, ResolverStandIn, Served, request, until
from test_config import SETTINGS as SITE

from rackhub.net.listen import DelayedReservation

FAILING = """
import os, socket
left = [{count}]
inner = socket.socket.{call}
def failing(self, *given):
    if left[0]:
        left[0] -= 1
        raise OSError({number}, os.strerror({number}))
    return inner(self, *given)
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
def test_a_newcomer_whose_accept_fails_for_a_moment_is_answered(tmp_path, things, call, number):
    engine = things(EngineStandIn("a").start())
    resolver = things(ResolverStandIn(engine.entry()))
    plant = FAILING.format(call=call, number=number, count=3)
    process = things(Served(tmp_path, resolver, engine, plant=plant, settings=SITE))
    client = things(process.client())
    client.send(request(1, budget=2_000))
    until(lambda: 1 in client.answers, "an answer")
    (answer,) = client.answers[1]
    assert "result" in answer or answer["error"]["code"] == -32008  # refused where the machine is late


class Spare:
    def available(self):
        return True


def test_the_spare_descriptor_is_kept_back_until_a_shortage_has_lasted():
    now = [0.0]
    reservation = DelayedReservation(Spare(), lambda: now[0])
    told = []
    for now[0] in (10.0, 10.05, 10.25, 10.5, 10.75 + DelayedReservation.SHORTAGE_GAP_S):
        told.append(reservation.available())
    assert told == [False, False, True, True, False]

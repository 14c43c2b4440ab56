"""Clients whose end may lie unread: reading stops and goes on in bits, and no attempt begins once they have gone.

A client that takes its answers slowly is not read from while its buffer is full. What it sends meanwhile, its cancel or
its close among it, lies in the kernel. The tests play such orders on real connections with a clock of their own.
"""

import pytest
from stands import LIMITS, MS, Site, Stand, spin
from test_crossings_requests import Raw, empty, script, turn, turns, wants, warm

from rackhub import interface as t

RETRY_TIMER = 77


@pytest.fixture
def site(request):
    here = Site(Stand(), Stand(), **getattr(request, "param", {}))
    here.raw = []
    yield here
    for client in here.raw:
        client.socket.close()
    here.close()


def retry_once(event, actions):
    """The actions for an attempt that the engine rejected; a request whose client may be gone is rejected."""
    if event.settled:
        return []
    return actions if event.outcome == "FULL" else [t.Reject(event.query, 100 * MS)]


def stop_over_unread_bytes(site, client):
    """Reading has stopped for long; it goes on and stops again before the event loop reads anything."""
    client.served_by.pauseProducing()
    client.go(1, client.way)
    site.clock.advance(200 * MS)
    client.served_by.resumeProducing()
    client.served_by.pauseProducing()


# Guards against a tolerance that begins anew with each stop of reading, while the client's end lies unread.
@pytest.mark.parametrize("how", ["close", "cancel"])
@pytest.mark.parametrize("next_attempt", ["at once", "after a backoff", "first"])
def test_no_attempt_begins_for_a_gone_client_whose_reading_went_on_and_stopped_without_a_read(site, how, next_attempt):
    warm(site)
    client = Raw(site)
    client.way = how
    retry = [t.Send(f"{1:016x}", "e0")]  # whose connection is up
    module = script(
        site,
        lambda event: [t.Timer(205 * MS, RETRY_TIMER)] if next_attempt == "first" else [t.Send(event.query, "e1")],
        AttemptCompleted=lambda event: retry_once(
            event, [t.Timer(5 * MS, RETRY_TIMER)] if next_attempt == "after a backoff" else retry
        ),
        TimerFired=lambda event: retry if event.ref == RETRY_TIMER else [],
    )
    client.ask(1)
    spin(lambda: site.core.queries if next_attempt == "first" else wants(site))
    stop_over_unread_bytes(site, client)
    if next_attempt != "first":
        site.stands[1].connections[0].say(f"{1:016x}".encode(), b"503")
        spin(lambda: site.counters["out_full"])
    site.clock.advance(5 * MS)
    turns(site)
    client.served_by.resumeProducing()
    turns(site)
    assert len(wants(site)) == (next_attempt != "first") and empty(site)
    assert next_attempt == "at once" or t.TimerFired(RETRY_TIMER) in module.events


# Guards against a mend that refuses a slow reader more than it must: a short stop after all was read has its tolerance.
@pytest.mark.parametrize("quiet", [0, 200 * MS])
def test_a_short_stop_of_a_slow_reader_whose_bytes_are_all_read_holds_nothing_back(site, quiet):
    warm(site)
    client = Raw(site)
    script(
        site,
        lambda event: [t.Send(event.query, "e0")],
        AttemptCompleted=lambda event: retry_once(event, [t.Send(f"{1:016x}", "e1")]),
    )
    client.ask(1)
    spin(lambda: wants(site))
    for _ in range(4):  # its buffer drains and fills again; nothing lies unread
        client.served_by.pauseProducing()
        site.clock.advance(LIMITS.late_iteration)
        client.served_by.resumeProducing()
        turns(site)
        site.clock.advance(quiet)
        turns(site)
    client.served_by.pauseProducing()
    site.stands[0].connections[0].say(f"{1:016x}".encode(), b"503")
    spin(lambda: len(wants(site)) == 2)


# Guards against a request that is counted as old for a stop of reading that was long over when it was sent.
def test_a_request_that_is_sent_long_after_a_stop_of_reading_has_its_whole_time(site):
    warm(site)
    client = Raw(site)
    client.served_by.pauseProducing()
    site.clock.advance(500 * MS)
    client.served_by.resumeProducing()
    turns(site)
    for _ in range(4):
        site.clock.advance(200 * MS)
        turns(site)
    client.ask(1, budget=900)
    Raw(site).ask(2, budget=900)  # of a client whose reading never stopped
    spin(lambda: turn(site) or len(wants(site)) == 2)
    first, second = ({part for part in words[2].split(b",") if part.startswith(b"max=")} for words in wants(site))
    assert first == second

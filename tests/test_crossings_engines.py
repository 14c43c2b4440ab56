"""Two events that cross on the way to an engine: dials, drains, resets, windows, spoilt answers.

A whole coordinator on loopback sockets. What has to happen first is made to happen first: the reactor is not turned
until the test has done its part, and the core's clock is the test's.
"""

from dataclasses import replace

import pytest
from stands import CLASSES, MS, SETTINGS, RespEngine, S, Site, Stand, TdsEngine, spin

from rackhub import interface as t
from rackhub.core.request import Query

TOKEN = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"
ROWS = b"a\tb\tc\n"
KEYED = replace(SETTINGS, classes=(*CLASSES[:2], replace(CLASSES[2], window=S)))
FRAGILE = replace(SETTINGS, classes=(replace(CLASSES[0], effect="fragile"), *CLASSES[1:]))


class Answers:
    """Where a request's one answer goes."""

    marks = False

    def __init__(self):
        self.came = []

    def served(self, query, rows):
        self.came.append(("served", b"".join(rows)))

    def refused(self, query, backoff):
        self.came.append(("refused", b""))

    def failed(self, query, why):
        self.came.append(("failed", b""))


class Here(Site):
    """A site that is asked without a client's connection, with its engines' commands in the test's sight."""

    def __init__(self, *stands, **more):
        super().__init__(*stands, **more)
        self.asked, self.rev = 0, 1

    def ask(self, cls="lookup", budget=3 * S, statement=b"select 1"):
        self.asked += 1
        query = Query(f"{self.asked:016x}", cls, statement, self.clock.now() + budget, Answers(), tenant="acme",
                      token=TOKEN if cls == "depot-load" else "")
        self.core.submit(query)
        return query

    def wants(self, query=None):
        """The `want` of each attempt that reached an engine."""
        return [words for stand in self.stands for words in stand.wants()
                if query is None or words[1] == query.id.encode()]

    def told(self, *states):
        """A list with the engines in these states; None: gone."""
        entries = [t.EngineEntry(f"e{i}", "z", "std", state=state) for i, state in enumerate(states) if state]
        self.rev += 1
        self.core.listed(entries, self.rev)
        self.pools.listed({f"e{i}": ("127.0.0.1", stand.port.getHost().port) for i, stand in enumerate(self.stands)
                           if states[i] == "Ready"})

    def links(self):
        return [link for pool in (*self.pools.pools.values(), *self.pools.retired) for link in pool.links]


@pytest.fixture
def make(request):
    made = []

    def build(count=2, *, tds=False, act=None, **more):
        made.append(Here(*(Stand(TdsEngine if tds else RespEngine, act) for _ in range(count)), tds_engines=tds,
                         **more))
        return made[-1]

    yield build
    for here in made:
        here.close()


def answer(connection, word, id, *_):
    """An engine that serves at once."""
    if word == b"want":
        connection.say(id, b"200", b"chunks=1", ROWS)


# ---- the window for repeats


@pytest.mark.parametrize("tds", [False, True])
def test_a_keyed_repeat_that_waits_for_its_dial_leaves_within_the_window_of_its_class_or_not_at_all(make, tds):
    here = make(tds=tds, settings=KEYED)
    query = here.ask("depot-load", 20 * S)
    spin(lambda: len(here.wants()) == 1)
    first, = query.out.values()
    here.clock.time += 800 * MS
    here.core.ended(first, "RST")  # within the window: the second one begins to dial
    second, = query.out.values()
    assert second.engine != first.engine
    here.clock.time += 200 * MS  # and is through when the window is over
    spin(lambda: query.closed)
    assert len(here.wants()) == 1 and [how for how, _ in query.reply.came] == ["refused"]


def test_the_window_runs_from_the_first_attempt_that_may_have_run(make):
    """One that surely never ran is no start of it."""
    here = make(3, settings=KEYED)
    query = here.ask("depot-load", 20 * S)
    first, = query.out.values()
    here.clock.time += 900 * MS
    here.core.ended(first, "NOCONN")
    second, = query.out.values()
    assert not second.send_by
    here.core.ended(second, "RST")
    third, = query.out.values()
    assert second.sent < third.send_by < second.sent + S


@pytest.mark.parametrize("terms", [300 * MS, 20 * S])
def test_of_the_operators_window_and_that_of_the_class_the_shorter_holds(make, terms):
    from rackhub.timings.desk import Desk
    from rackhub.timings.routes import Route
    from rackhub.timings.table import Table

    here = make(3, settings=KEYED)
    here.core.desk = Desk(Table([Route(cls="depot-load", repeat_within_ms=terms / MS)], KEYED),
                          {"depot-load": 25 * S}, 3)
    query = here.ask("depot-load", 20 * S)
    first, = query.out.values()
    here.core.ended(first, "RST")
    second, = query.out.values()
    assert second.send_by == min(first.sent + terms, first.sent + S - S // 20)


# ---- clients that go


@pytest.mark.parametrize("cancel", [False, True])
@pytest.mark.parametrize("tds", [False, True])
def test_nothing_leaves_for_a_client_that_went_while_the_dial_was_under_way(make, tds, cancel):
    """Also where the site allows no cancel, and so the module calls nothing off."""
    here = make(1, tds=tds, settings=replace(SETTINGS, cancel=cancel), act=answer)
    gone = here.ask()
    here.core.leave(gone)
    spin(lambda: here.stands[0].connections)
    stays = here.ask()
    spin(lambda: stays.closed)
    assert [words[1] for words in here.wants()] == [stays.id.encode()] and gone.reply.came == []
    assert stays.reply.came == [("served", ROWS)]

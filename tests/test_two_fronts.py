"""Both fronts and both kinds of engines, on loopback sockets: the hard cases that the operators named."""

import base64
import itertools
import json
import threading

import pytds
import pytest
from harness import CLASSES, LIMITS, MS, CoordinatorTestBed, EngineServer, RespEngine, S, TdsEngine, spin

from rackhub.net.tds import codec
from rackhub.net.tds import front as tds

ROWS = b"a\tb\tc\nd\te\tf\n"


@pytest.fixture
def site():
    """Sites that are closed whatever becomes of the test."""
    made = []

    def make(*stands, **more):
        made.append(CoordinatorTestBed(*stands, **more))
        return made[-1]

    yield make
    for one in made:
        one.close()


def ask(client, id, cls, statement, **params):
    body = base64.b64encode(statement).decode()
    params = {"rid": f"{id:016x}", "budget": 1500, "acct": "acme", "body": body} | params
    client.sendLine(json.dumps({"jsonrpc": "2.0", "id": id, "method": cls, "params": params}).encode())


def errors(answer):
    return [value for kind, value in answer if kind == codec.ERROR]


def rows(answer):
    return "".join("\t".join(value) + "\n" for kind, value in answer if kind == codec.ROW).encode()


def test_attention_halfway_through_a_report_frees_the_work_and_the_connection_goes_on(site):
    def act(engine, word, id, *rest):
        if word == b"want" and b"long" in rest[1]:
            engine.respond(id, b"200", b"chunks=4", ROWS)
        elif word == b"want":
            engine.respond(id, b"200", b"chunks=1", ROWS)
        elif word == b"turn" and rest[0] == b"1":
            engine.respond(id, b"chunk", b"at=1", ROWS)  # and no further page: the report is halfway in

    stand = EngineServer(on_command=act)
    here = site(stand)
    client = here.tds_client()
    client.call("SELECT long FROM r_3.t", **{"class": "report"})
    spin(lambda: here.counters["pages_in"] == 1)
    client.ask(codec.ATTENTION, b"")
    spin(lambda: len(client.answers) == 2)
    assert [kind for kind, _ in client.answers[1]] == [codec.DONE]
    assert client.answers[1][0][1].status == codec.DONE_ATTN
    spin(lambda: any(words[0] == b"shut" for words in stand.received))
    here.clock.advance(LIMITS.cancellation_delay)
    assert not here.core.queries and not here.core.in_flight
    client.call("SELECT short FROM r_3.t")
    spin(lambda: len(client.answers) == 3)
    assert rows(client.answers[2]) == ROWS and here.counters["out_cxl"] == 1


@pytest.mark.parametrize("tds_engines", [False, True])
def test_a_load_sent_over_tds_and_retried_over_json_rpc_has_its_effect_once(site, tds_engines):
    seen, effects = set(), []

    def act(engine, word, id, *rest):
        if word != b"want":
            return
        key = rest[0].partition(b"replay=")[2]
        if key not in seen:  # as an engine does: the first of a key has its effect, and here no answer
            seen.add(key)
            effects.append(rest[1])
        else:
            engine.respond(id, b"200", b"chunks=1", ROWS)

    here = site(EngineServer(TdsEngine, act) if tds_engines else EngineServer(on_command=act), tds_engines=tds_engines)
    first, second = here.tds_client(), here.json_client()
    first.call("INSERT INTO r_5.t", **{"class": "depot-load", "key": "k1", "budget_ms": 900})
    spin(lambda: effects)
    here.clock.advance(S)
    spin(lambda: len(first.answers) == 2)
    (error,) = errors(first.answers[1])
    assert (error.number, error.state) == (tds.DEADLINE, tds.HARMLESS)
    ask(second, 9, "depot-load", b"INSERT INTO r_5.t", token="k1")
    spin(lambda: second.lines)
    assert base64.b64decode(json.loads(second.lines[0])["result"]["body"]) == ROWS
    assert effects == [b"INSERT INTO r_5.t"] and len(here.engines[0].wants()) == 2


def scripted(engine, word, id, *rest):
    """What an engine does is written in the statement, so that it is the same for both protocols."""
    if word != b"want":
        return
    statement = rest[1]
    tries = engine.server.tries[statement] = engine.server.tries.get(statement, 0) + 1
    said = statement.split(b" in ")[0].split(b" ")[1:]
    how = said[min(tries, len(said)) - 1]
    if how == b"ok":
        engine.respond(id, b"200", b"chunks=1,report=inflight:3;queue:0", ROWS)
    elif how in (b"503", b"500", b"504"):
        engine.respond(id, how)
    elif how == b"reset":
        engine.transport.abortConnection()


TRAFFIC = [
    (cls.name, f"do {how} in {cls.name}", 4_000 + 1_000 * i, 1 + i)
    for cls in CLASSES
    for i, how in enumerate(
        ("ok", "503 ok", "500 ok", "reset ok", "504", "500 500 500", "silent", "reset reset reset", "ok")
    )
]


def replay(site, front, tds_engines):
    """The traffic through one front: what each engine was told, in order, and each outcome."""
    stands = [EngineServer(TdsEngine if tds_engines else RespEngine, scripted) for _ in range(3)]
    told, tries = [], {}
    for stand in stands:
        stand.received, stand.tries = told, tries
    numbers = itertools.count(1)
    here = site(*stands, tds_engines=tds_engines, ids=lambda: f"{next(numbers):016x}")
    client = here.json_client() if front == "json" else here.tds_client()
    outcomes = []
    for i, (cls, statement, budget, estimate) in enumerate(TRAFFIC, 1):
        names = ("est", "ram") if front == "json" else ("est_ms", "ram_mb")
        more = dict(zip(names, (estimate * 1e3, 100), strict=True))
        if cls == "depot-load":
            more["token" if front == "json" else "key"] = f"key{i}"
        if front == "json":
            ask(client, i, cls, statement.encode(), budget=budget, **more)
        else:
            client.call(statement, **{"class": cls, "budget_ms": budget}, **more)
        spin(lambda i=i: here.counters["requests_in"] == i)

        def settled():
            return sum(words[0] == b"want" for words in told) == here.counters["attempts"]

        spin(settled)
        if "silent" in statement:
            while here.core.queries:  # what each timer leads to, a dial too, comes about before time goes on
                here.clock.step()
                spin(settled)
        spin(lambda i=i: len(client.lines) == i if front == "json" else len(client.answers) == i + 1)
        here.clock.advance(200 * MS)
        outcomes.append(outcome(client.lines[-1] if front == "json" else client.answers[-1]))
        spin(lambda: not here.core.in_flight)
    wants = [(words[1], words[2], words[3]) for words in told if words[0] == b"want"]
    names = (
        "attempts",
        "served",
        "refused",
        "failed",
        "out_good",
        "out_bad",
        "out_full",
        "out_rst",
        "out_nop",
        "out_cxl",
    )
    return wants, outcomes, {name: here.counters[name] for name in names}


def outcome(answer):
    """An answer of either protocol in the same words."""
    if isinstance(answer, bytes):
        said = json.loads(answer)
        if "result" in said:
            return "served", base64.b64decode(said["result"]["body"])
        back_off = said["error"].get("data", {}).get("backoff")
        return ("failed", None) if back_off is None else ("refused", back_off)
    for error in errors(answer):
        harmless = error.number == tds.REJECTED or (error.number, error.state) == (tds.DEADLINE, tds.HARMLESS)
        return ("refused", int(error.text.split(" ")[-2])) if harmless else ("failed", None)
    return "served", rows(answer)


def test_the_same_traffic_in_each_protocol_has_the_same_decisions_and_outcomes(site):
    runs = {(front, engines): replay(site, front, engines) for front in ("json", "tds") for engines in (False, True)}
    first = runs["json", False]
    assert {kind for kind, _ in first[1]} == {"served", "refused"} and first[2]["out_full"] and first[2]["out_rst"]
    assert len(first[0]) > len(TRAFFIC)  # further attempts were among it
    for run in runs.values():
        assert run[1] == first[1]
        assert run[0] == first[0]
        assert run[2] == first[2]


def test_a_driver_that_others_wrote_logs_in_reads_rows_and_is_told_errors(site):
    """python-tds blocks, so it runs beside the reactor, in a thread of its own."""

    def act(engine, word, id, *rest):
        if word == b"want":
            engine.respond(id, b"500") if b"bad" in rest[1] else engine.respond(id, b"200", b"chunks=1", ROWS)

    here, found = site(EngineServer(on_command=act)), {}
    port = here.ports[1].getHost().port

    def drive():
        with pytds.connect("127.0.0.1", "rides", "desk", "open sesame", port=port, autocommit=True) as connection:
            with connection.cursor() as cursor:
                cursor.execute("SELECT * FROM r_1.t")
                found["batch"] = cursor.fetchall()
                cursor.execute("SELECT * FROM r_1.t")
                found["again"] = cursor.fetchone()
                try:
                    cursor.execute("SELECT bad")
                except pytds.Error as error:
                    found["error"] = error.number
        try:
            pytds.connect("127.0.0.1", "rides", "desk", "wrong", port=port, login_timeout=30)
        except pytds.Error as error:
            found["login"] = str(error)

    thread = threading.Thread(target=drive)
    thread.start()
    spin(lambda: not thread.is_alive(), 10_000)
    assert found["batch"] == [("a", "b", "c"), ("d", "e", "f")] and found["again"] == ("a", "b", "c")
    assert found["error"] == tds.REJECTED and "Login failed" in found["login"]

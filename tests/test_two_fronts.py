"""Both client protocols with both engine protocols, on loopback sockets."""

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
def make_test_bed():
    """Creates test beds, which are closed even if the test fails."""
    made = []

    def make(*engines, **extra):
        made.append(CoordinatorTestBed(*engines, **extra))
        return made[-1]

    yield make
    for test_bed in made:
        test_bed.close()


def send_json_request(client, id, cls, statement, **params):
    body = base64.b64encode(statement).decode()
    params = {"rid": f"{id:016x}", "budget": 1500, "acct": "acme", "body": body} | params
    client.sendLine(json.dumps({"jsonrpc": "2.0", "id": id, "method": cls, "params": params}).encode())


def error_tokens(answer):
    return [value for kind, value in answer if kind == codec.ERROR]


def result_rows(answer):
    return "".join("\t".join(value) + "\n" for kind, value in answer if kind == codec.ROW).encode()


def test_attention_during_a_result_stops_the_request_and_the_connection_is_reused(make_test_bed):
    def handle_command(engine, command, id, *arguments):
        if command == b"want" and b"long" in arguments[1]:
            engine.respond(id, b"200", b"chunks=4", ROWS)
        elif command == b"want":
            engine.respond(id, b"200", b"chunks=1", ROWS)
        elif command == b"turn" and arguments[0] == b"1":
            engine.respond(id, b"chunk", b"at=1", ROWS)  # pages 2 and 3 are never sent, so the result stays incomplete

    engine_server = EngineServer(on_command=handle_command)
    test_bed = make_test_bed(engine_server)
    client = test_bed.tds_client()
    client.call("SELECT long FROM r_3.t", **{"class": "report"})
    spin(lambda: test_bed.counters["pages_in"] == 1)
    client.ask(codec.ATTENTION, b"")
    spin(lambda: len(client.answers) == 2)
    assert [kind for kind, _ in client.answers[1]] == [codec.DONE]
    assert client.answers[1][0][1].status == codec.DONE_ATTN
    spin(lambda: any(words[0] == b"shut" for words in engine_server.received))
    test_bed.clock.advance(LIMITS.cancellation_delay)
    assert not test_bed.core.queries and not test_bed.core.in_flight
    client.call("SELECT short FROM r_3.t")
    spin(lambda: len(client.answers) == 3)
    assert result_rows(client.answers[2]) == ROWS and test_bed.counters["out_cxl"] == 1


@pytest.mark.parametrize("tds_engines", [False, True])
def test_a_load_sent_over_tds_and_retried_over_json_rpc_is_executed_once(make_test_bed, tds_engines):
    seen, effects = set(), []

    def handle_command(engine, command, id, *arguments):
        if command != b"want":
            return
        key = arguments[0].partition(b"replay=")[2]
        if key not in seen:  # the first request with a key is executed, as by an engine, but not answered
            seen.add(key)
            effects.append(arguments[1])
        else:
            engine.respond(id, b"200", b"chunks=1", ROWS)

    test_bed = make_test_bed(
        EngineServer(TdsEngine, handle_command) if tds_engines else EngineServer(on_command=handle_command),
        tds_engines=tds_engines,
    )
    first, second = test_bed.tds_client(), test_bed.json_client()
    first.call("INSERT INTO r_5.t", **{"class": "depot-load", "key": "k1", "budget_ms": 900})
    spin(lambda: effects)
    test_bed.clock.advance(S)
    spin(lambda: len(first.answers) == 2)
    (error,) = error_tokens(first.answers[1])
    assert (error.number, error.state) == (tds.DEADLINE, tds.SAFE_TO_RETRY)
    send_json_request(second, 9, "depot-load", b"INSERT INTO r_5.t", token="k1")
    spin(lambda: second.lines)
    assert base64.b64decode(json.loads(second.lines[0])["result"]["body"]) == ROWS
    assert effects == [b"INSERT INTO r_5.t"] and len(test_bed.engines[0].wants()) == 2


def respond_as_scripted(engine, command, id, *arguments):
    """Respond to each attempt as the statement says, for example 'do 503 ok in lookup': 503, then success."""
    if command != b"want":
        return
    statement = arguments[1]
    attempts = engine.server.attempts[statement] = engine.server.attempts.get(statement, 0) + 1
    script = statement.split(b" in ")[0].split(b" ")[1:]
    step = script[min(attempts, len(script)) - 1]
    if step == b"ok":
        engine.respond(id, b"200", b"chunks=1,report=inflight:3;queue:0", ROWS)
    elif step in (b"503", b"500", b"504"):
        engine.respond(id, step)
    elif step == b"reset":
        engine.transport.abortConnection()


TRAFFIC = [
    (cls.name, f"do {step} in {cls.name}", 4_000 + 1_000 * i, 1 + i)
    for cls in CLASSES
    for i, step in enumerate(
        ("ok", "503 ok", "500 ok", "reset ok", "504", "500 500 500", "silent", "reset reset reset", "ok")
    )
]


def run_traffic(make_test_bed, front, tds_engines):
    """Send TRAFFIC through one front. Returns the attempts in the order received, the outcomes and the counters."""
    engines = [EngineServer(TdsEngine if tds_engines else RespEngine, respond_as_scripted) for _ in range(3)]
    received_commands, attempts = [], {}
    for engine in engines:
        engine.received, engine.attempts = received_commands, attempts
    numbers = itertools.count(1)
    test_bed = make_test_bed(*engines, tds_engines=tds_engines, ids=lambda: f"{next(numbers):016x}")
    client = test_bed.json_client() if front == "json" else test_bed.tds_client()
    outcomes = []
    for i, (cls, statement, budget, estimate) in enumerate(TRAFFIC, 1):
        names = ("est", "ram") if front == "json" else ("est_ms", "ram_mb")
        extra = dict(zip(names, (estimate * 1e3, 100), strict=True))
        if cls == "depot-load":
            extra["token" if front == "json" else "key"] = f"key{i}"
        if front == "json":
            send_json_request(client, i, cls, statement.encode(), budget=budget, **extra)
        else:
            client.call(statement, **{"class": cls, "budget_ms": budget}, **extra)
        spin(lambda i=i: test_bed.counters["requests_in"] == i)

        def all_attempts_received():
            return sum(words[0] == b"want" for words in received_commands) == test_bed.counters["attempts"]

        spin(all_attempts_received)
        if "silent" in statement:
            while test_bed.core.queries:  # the effects of each timer, such as a dial, are completed before the next
                test_bed.clock.step()
                spin(all_attempts_received)
        spin(lambda i=i: len(client.lines) == i if front == "json" else len(client.answers) == i + 1)
        test_bed.clock.advance(200 * MS)
        outcomes.append(outcome_of_response(client.lines[-1] if front == "json" else client.answers[-1]))
        spin(lambda: not test_bed.core.in_flight)
    wants = [(words[1], words[2], words[3]) for words in received_commands if words[0] == b"want"]
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
    return wants, outcomes, {name: test_bed.counters[name] for name in names}


def outcome_of_response(answer):
    """Return the outcome of a response in the same form for both protocols."""
    if isinstance(answer, bytes):
        message = json.loads(answer)
        if "result" in message:
            return "served", base64.b64decode(message["result"]["body"])
        backoff = message["error"].get("data", {}).get("backoff")
        return ("failed", None) if backoff is None else ("refused", backoff)
    for error in error_tokens(answer):
        safe_to_retry = error.number == tds.REJECTED or (error.number, error.state) == (tds.DEADLINE, tds.SAFE_TO_RETRY)
        return ("refused", int(error.text.split(" ")[-2])) if safe_to_retry else ("failed", None)
    return "served", result_rows(answer)


def test_the_same_traffic_has_the_same_outcomes_over_each_protocol(make_test_bed):
    runs = {
        (front, engines): run_traffic(make_test_bed, front, engines)
        for front in ("json", "tds")
        for engines in (False, True)
    }
    first = runs["json", False]
    assert {kind for kind, _ in first[1]} == {"served", "refused"} and first[2]["out_full"] and first[2]["out_rst"]
    assert len(first[0]) > len(TRAFFIC)  # some requests needed several attempts
    for run in runs.values():
        assert run[1] == first[1]
        assert run[0] == first[0]
        assert run[2] == first[2]


def test_a_third_party_driver_logs_in_reads_rows_and_receives_errors(make_test_bed):
    """The driver is python-tds. It blocks, so it runs in its own thread."""

    def handle_command(engine, command, id, *arguments):
        if command == b"want":
            engine.respond(id, b"500") if b"bad" in arguments[1] else engine.respond(id, b"200", b"chunks=1", ROWS)

    test_bed, results = make_test_bed(EngineServer(on_command=handle_command)), {}
    port = test_bed.ports[1].getHost().port

    def run_driver():
        with pytds.connect("127.0.0.1", "rides", "desk", "open sesame", port=port, autocommit=True) as connection:
            with connection.cursor() as cursor:
                cursor.execute("SELECT * FROM r_1.t")
                results["batch"] = cursor.fetchall()
                cursor.execute("SELECT * FROM r_1.t")
                results["again"] = cursor.fetchone()
                try:
                    cursor.execute("SELECT bad")
                except pytds.Error as error:
                    results["error"] = error.number
        try:
            pytds.connect("127.0.0.1", "rides", "desk", "wrong", port=port, login_timeout=30)
        except pytds.Error as error:
            results["login"] = str(error)

    thread = threading.Thread(target=run_driver)
    thread.start()
    spin(lambda: not thread.is_alive(), 10_000)
    assert results["batch"] == [("a", "b", "c"), ("d", "e", "f")] and results["again"] == ("a", "b", "c")
    assert results["error"] == tds.REJECTED and "Login failed" in results["login"]

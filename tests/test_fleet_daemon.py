"""The fleet in the daemon, as real processes: a rule book that turns a part on, over a restart, and its undo."""

from twisted.internet import reactor

from rackhub.fleet.control.client import send_request
from rackhub.trials.processes.cases.case import ask_all, comes_about
from rackhub.trials.processes.rig import Rig
from rackhub.trials.processes.site import Plan

ONE = {"route": [{"class": "lookup", "attempts": 1}]}


def held(rig, version):
    told = ask_all(rig, {"call": "figures"})
    return all(each and each["figures"].get("rules_version") == version for each in told.values())


def change(rig, name, **words):
    """One call at a gateway's control port, answered while the reactor turns."""
    answer = ask_all(rig, words, whom=(name,), patience=10.0)[name]
    assert answer and "error" not in answer, answer
    return answer


def test_a_rule_book_holds_on_every_gateway_over_a_restart_and_its_undo_too():
    """Routes in the book turn the timings on, in a gateway that starts as well: that one ended at its start once."""
    with Rig(Plan(gateways=3, engines=2, seed=4, fleet=True, keepers=3), reactor) as rig:
        rig.up()
        assert comes_about(
            rig, lambda: "error" not in (ask_all(rig, edit(), whom=("g0",), patience=10.0)["g0"] or {"error": 1}), 20
        )
        assert comes_about(rig, lambda: held(rig, 1), 20)
        figures = ask_all(rig, {"call": "figures"}, whom=("g0",))["g0"]["figures"]
        assert not [name for name in figures if name.startswith("distribution")]  # none without a role
        process = rig.processes.by_name["g2"]
        process.kill()
        rig.start("g2")
        rig.wait_ready(["g2"])
        assert comes_about(rig, lambda: held(rig, 1), 20)
        change(rig, "g1", call="rules.undo", author="ada", reason="back", id="u1")
        assert comes_about(rig, lambda: held(rig, 2), 20)
        assert "Traceback" not in process.said()


def edit():
    return {
        "call": "rules.edit",
        "on": 0,
        "author": "ada",
        "reason": "one attempt",
        "id": "e1",
        "parts": {"timings": ONE},
    }


def test_the_command_line_s_client_names_an_address_where_nobody_answers():
    try:
        send_request(("127.0.0.1", 1), {"call": "fleet"}, 1.0)
        raise AssertionError("somebody answered")
    except OSError:
        pass

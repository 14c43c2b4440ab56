"""The fleet in real processes: a rule set that turns a component on, across a restart, and its undo."""

from twisted.internet import reactor

from rackhub.fleet.control.client import send_request
from rackhub.trials.processes.cases.case import ask_all, comes_about
from rackhub.trials.processes.rig import Rig
from rackhub.trials.processes.site import Plan

ONE_ATTEMPT = {"route": [{"class": "lookup", "attempts": 1}]}


def is_applied(rig, version):
    answers = ask_all(rig, {"call": "figures"})
    return all(answer and answer["figures"].get("rules_version") == version for answer in answers.values())


def request_change(rig, gateway, **request):
    """Send one request to a gateway's control port and return the answer, which has to be without an error."""
    answer = ask_all(rig, request, whom=(gateway,), patience=10.0)[gateway]
    assert answer and "error" not in answer, answer
    return answer


def test_a_rule_set_is_applied_across_a_restart_and_undone():
    """Routes in the rule set turn the timings on; a gateway that started with such a rule set failed at its start."""
    with Rig(Plan(gateways=3, engines=2, seed=4, fleet=True, keepers=3), reactor) as rig:
        rig.up()
        assert comes_about(
            rig,
            lambda: "error" not in (ask_all(rig, edit_request(), whom=("g0",), patience=10.0)["g0"] or {"error": 1}),
            20,
        )
        assert comes_about(rig, lambda: is_applied(rig, 1), 20)
        figures = ask_all(rig, {"call": "figures"}, whom=("g0",))["g0"]["figures"]
        assert not [name for name in figures if name.startswith("distribution")]  # none without a role
        process = rig.processes.by_name["g2"]
        process.kill()
        rig.start("g2")
        rig.wait_ready(["g2"])
        assert comes_about(rig, lambda: is_applied(rig, 1), 20)
        request_change(rig, "g1", call="rules.undo", author="ada", reason="back", id="u1")
        assert comes_about(rig, lambda: is_applied(rig, 2), 20)
        assert "Traceback" not in process.said()


def edit_request():
    return {
        "call": "rules.edit",
        "on": 0,
        "author": "ada",
        "reason": "one attempt",
        "id": "e1",
        "parts": {"timings": ONE_ATTEMPT},
    }


def test_the_control_client_raises_oserror_without_a_listener():
    try:
        send_request(("127.0.0.1", 1), {"call": "fleet"}, 1.0)
        raise AssertionError("the request was answered")
    except OSError:
        pass

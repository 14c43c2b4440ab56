"""Distribution in real processes on loopback: a voter, two relays and two coordinators under light traffic."""

import json
import subprocess
import sys
import time

from twisted.internet import reactor

from rackhub.cli import main
from rackhub.trials.processes.arrivals import SECOND, Load
from rackhub.trials.processes.calls import say
from rackhub.trials.processes.clock import turn, until
from rackhub.trials.processes.places import text
from rackhub.trials.processes.rig import Rig
from rackhub.trials.processes.site import Plan
from rackhub.trials.processes.trial import Trial

ROLES = ("voter", "relay", "relay", "coordinator", "coordinator")
VOTER, RELAYS, COORDINATORS = "g0", ("g1", "g2"), ("g3", "g4")
APPLY_TIMEOUT_S = 16.0  # longest time until a change is applied everywhere


class Fleet:
    """The processes, and calls to their control ports. The reactor runs while a call waits for its answer."""

    def __init__(self, rig):
        self.rig = rig

    def call(self, name, call, **arguments):
        answers = []
        control = self.rig.gateways[name].control
        say(reactor, control, {"call": call, **arguments}, answers.append, APPLY_TIMEOUT_S)
        until(reactor, lambda: answers, APPLY_TIMEOUT_S + 1, f"an answer of {name} to {call}")
        return answers[0]

    def edit(self, on, attempts, wait_ms=15_000):
        arguments = {"author": "ada", "reason": "attempts", "id": f"e{on}-{attempts}", "wait_ms": wait_ms}
        parts = {"timings": {"route": [{"class": "lookup", "attempts": attempts}]}}
        return self.call(VOTER, "rules.edit", on=on, parts=parts, **arguments)

    def status(self, name):
        return self.call(name, "rules.status")

    def wait_for(self, condition, description):
        """Wait until the condition holds. It must make a call, since only calls run the reactor."""
        end = time.monotonic() + APPLY_TIMEOUT_S
        while not condition():
            assert time.monotonic() < end, description

    def all_watch(self):
        """Return whether every coordinator watches a relay and the voter knows their number."""
        voter = self.status(VOTER)
        if not voter or "error" in voter or voter["expected"] != len(COORDINATORS):
            return False
        return all(self.status(name)["upstream"] in RELAYS for name in COORDINATORS)


def test_edits_are_applied_despite_a_relay_end_and_a_coordinator_restart(capsys):
    plan = Plan(gateways=len(ROLES), engines=2, seed=5, fleet=True, roles=ROLES)
    with Rig(plan, reactor) as rig:
        rig.up()
        fleet = Fleet(rig)
        trial = Trial(rig, [Load(rate=10.0, end=60 * SECOND, weights=dict.fromkeys(COORDINATORS, 1.0))], 5)
        trial.start()
        fleet.wait_for(fleet.all_watch, "the coordinators watch a relay")

        first = fleet.edit(0, 1)
        assert (first["revision"], first["in_force"], first["lagging"]) == (1, 2, 0) and "error" not in first
        assert [fleet.status(name)["revision"] for name in COORDINATORS] == [1, 1]

        watched = fleet.status(COORDINATORS[0])["upstream"]
        rig.processes.by_name[watched].kill()
        second = fleet.edit(1, 2)
        assert "error" not in second and (second["revision"], second["in_force"]) == (2, 2)
        assert fleet.status(COORDINATORS[0])["upstream"] not in ("", watched)

        restarted = rig.processes.by_name[COORDINATORS[1]]
        restarted.kill()
        rig.start(COORDINATORS[1])
        rig.wait_ready([COORDINATORS[1]])
        assert fleet.status(COORDINATORS[1])["revision"] == 2  # It resumes from its disk, whichever relay it watches.
        third = fleet.edit(2, 3)
        assert "error" not in third and (third["revision"], third["in_force"]) == (3, 2)

        trial.stop()
        verdict = trial.verdict("distribution")
        assert not verdict.faults, verdict.examples
        assert all("Traceback" not in process.said() for process in rig.processes.by_name.values())


def test_rejected_edits_and_the_command_line(capsys):
    plan = Plan(gateways=3, engines=2, seed=6, fleet=True, roles=("voter", "relay", "coordinator"))
    with Rig(plan, reactor) as rig:
        rig.up()
        fleet = Fleet(rig)
        fleet.wait_for(lambda: fleet.status(VOTER)["expected"] == 1, "the voter hears of the coordinator")
        assert fleet.edit(0, 1)["in_force"] == 1
        arguments = {"on": 1, "author": "ada", "reason": "r", "id": "x"}
        for name, more, fault in (
            (VOTER, {"parts": {"timings": {"route": [{"class": "nobody"}]}}}, "rules/timings/route/"),
            (VOTER, {"parts": {"timings": {"x" * 300: 1}}}, "more than 256"),
            (VOTER, {"parts": {"timings": {"note": "x" * 20_000}}}, "rules/timings/note: its value has"),
            (VOTER, {"parts": {}, "trial_ms": 5_000}, "trial: there are no trials"),
            ("g1", {"parts": {}}, "g1 is a relay; send this command to a voter: g0"),
            ("g2", {"parts": {}}, "g2 is a coordinator; send this command to a voter: g0"),
        ):
            answer = fleet.call(name, "rules.edit", **arguments, **more)
            assert fault in answer["error"] and answer["exit"] == 2, answer
        assert "there are no trials" in fleet.call(VOTER, "rules.confirm")["error"]
        stale = fleet.call(VOTER, "rules.edit", **arguments | {"on": 0}, parts={"timings": {}})
        assert "since then there is revision 1 by ada" in stale["error"] and stale["exit"] == 1

        at = {name: text(rig.gateways[name].control) for name in rig.gateways}
        assert main(["rules", "status", "--at", at[VOTER]]) == 0
        assert "revision 1 in force at 1 of 1\n" in capsys.readouterr().out
        assert main(["rules", "status", "--at", at["g1"]]) == 0
        assert "g1  relay of zone z1  holds revision 1 from g0; 1 watch it, 1 live" in capsys.readouterr().out
        assert main(["rules", "status", "--at", at["g2"], "--json"]) == 0
        assert json.loads(capsys.readouterr().out)["upstream"] == "g1"
        undo = ["rules", "undo", "--author", "ada", "--reason", "back", "--wait", "10s", "--at"]
        assert main([*undo, at[VOTER]]) == 0
        assert "revision 2 in force at 1 of 1" in capsys.readouterr().out
        assert main([*undo, at["g2"]]) == 2
        assert "g2 is a coordinator; send this command to a voter" in capsys.readouterr().err
        assert main(["rules", "show", "1", "--at", at[VOTER]]) == 0
        assert '"attempts": 1' in capsys.readouterr().out
        assert main(["rules", "diff", "--at", at[VOTER]]) == 0
        assert "from version 1 to version 2" in capsys.readouterr().out
        assert main(["rules", "history", "--at", at[VOTER]]) == 0
        assert capsys.readouterr().out.count("\n") == 2

        assert not rig.processes.end_in_order(lambda: turn(reactor))
        for process in rig.processes.by_name.values():
            assert "Traceback" not in process.said() and not process.crashed


def test_a_bad_role_ends_with_2_and_names_its_key(tmp_path):
    plan = Plan(gateways=1, engines=1, fleet=True, roles=("coordinator",))
    rig = Rig(plan, reactor, tmp_path)
    try:
        rig.up(wait=False)
        process = rig.processes.by_name["g0"]
        until(reactor, lambda: not process.running(), APPLY_TIMEOUT_S, "its end")
        assert "fleet: zone: 'z1' has no relay among node" in process.said()
        operator = tmp_path / "g0.toml"
        operator.write_text(operator.read_text().replace('role = "coordinator"', 'role = "boss"'))
        arguments = ["serve", "--config", str(tmp_path / "g0.json"), "--operator", str(operator)]
        ran = subprocess.run([sys.executable, "-m", "rackhub", *arguments], capture_output=True, text=True)
        assert ran.returncode == 2
        assert "operator file: fleet: role: 'boss' is none of voter, relay, coordinator" in ran.stderr
    finally:
        rig.close()

"""Gathers on real processes: unresponsive sites, gateways that gather from one another, and drains during gathers."""

import base64
import json

import msgspec
import pytest
from twisted.internet import reactor

from rackhub.trials.gather.audit import GatherCounts, make_judge
from rackhub.trials.processes import rows
from rackhub.trials.processes.arrivals import Load
from rackhub.trials.processes.places import text
from rackhub.trials.processes.rig import Rig
from rackhub.trials.processes.schedule import Schedule, Step
from rackhub.trials.processes.site import Plan
from rackhub.trials.processes.trial import Trial

SECOND = 1_000_000
SITES = """
[[gather.site]]
name = "s0"
zones = ["s0"]
[[gather.site]]
name = "s1"
zones = ["s1"]
"""
PARTIAL_RULE = """
[[gather.rule]]
class = "report"
sites = ["s0", "s1"]
needs = ["s0"]
partial = true
wait = "learned"
"""
COMPLETE_RULE = """
[[gather.rule]]
class = "report"
sites = ["s0", "s1"]
"""


def sites_fresh(partial, seen):
    return make_judge(("s0", "s1"), "report", partial, seen)


def run_trial(rules, steps, partial, seconds=5, sites=SITES, audit=sites_fresh):
    """Run a trial and return its verdict. `sites` may contain `{g0}` and `{g1}` for the addresses of the gateways."""
    seen = GatherCounts()
    with Rig(Plan(gateways=2, sites=2, engines=2, seed=3, fleet=True), reactor) as rig:
        addresses = {name: json.dumps(text(each.listen)) for name, each in rig.gateways.items()}
        rig.plan = msgspec.structs.replace(rig.plan, operator_more=sites.format(**addresses) + rules)
        rig.up()
        trial = Trial(
            rig,
            [Load(rate=8.0, end=seconds * SECOND, kinds=("report", "lookup"))],
            3,
            steps=Schedule(step=tuple(steps)),
            judge=audit(partial, seen),
        ).run()
        verdict = trial.verdict("gather")
        verdict.figures["seen"] = seen
        trial.close()
    assert verdict.safe(), (verdict.faults, verdict.examples)
    return verdict


def test_unresponsive_site_gives_marked_partial_answers_until_it_recovers():
    verdict = run_trial(
        PARTIAL_RULE,
        [
            Step(at_ms=1_500, do="mood", whom=("e1",), more={"silent": True}),
            Step(at_ms=3_500, do="mood", whom=("e1",), more={"silent": False}),
        ],
        True,
    )
    assert verdict.figures["seen"].whole and verdict.figures["seen"].partial


MUTUAL = """
[[gather.site]]
name = "s0"
zones = ["s0"]
[[gather.site]]
name = "far"
gateways = [{g0}, {g1}]
"""


def one_hop(partial, seen):
    """Return a check that rows come from the local zone first, then from a gateway that does not gather again."""

    def fault(request, result):
        body, makers = base64.b64decode(result["body"]), None
        if request.arrival.kind.name != "report":
            return rows.fault(body, request.arrival.statement)
        makers = rows.makers(body, request.arrival.statement)
        seen.whole += 1
        return None if makers and len(makers) == 2 and makers[0][1] == "s0" else f"rows of {makers}"

    return fault


def test_gateways_that_gather_from_one_another_do_so_once():
    verdict = run_trial(COMPLETE_RULE.replace("s1", "far"), [], False, 3, MUTUAL, one_hop)
    assert verdict.figures["seen"].whole > 2


@pytest.mark.parametrize(
    "fault_step",
    [Step(at_ms=2_000, do="term", whom=("g0",)), Step(at_ms=2_000, do="mood", whom=("e1",), more={"resets": 1.0})],
)
def test_no_partial_answer_where_all_sites_are_needed(fault_step):
    verdict = run_trial(COMPLETE_RULE, [fault_step], False)
    assert verdict.figures["seen"].whole and not verdict.figures["seen"].partial

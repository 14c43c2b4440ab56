"""Gathers on real processes: sites that fall silent, gateways that gather from one another, drains under gathers."""

import base64
import json

import msgspec
import pytest
from twisted.internet import reactor

from rackhub.trials.gather.audit import Seen, judge
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
NEED = """
[[gather.rule]]
class = "report"
sites = ["s0", "s1"]
needs = ["s0"]
partial = true
wait = "learned"
"""
ALL = """
[[gather.rule]]
class = "report"
sites = ["s0", "s1"]
"""


def sites_fresh(partial, seen):
    return judge(("s0", "s1"), "report", partial, seen)


def play(rules, steps, partial, seconds=5, sites=SITES, audit=sites_fresh):
    """`sites` may name the gateways' addresses, which are known once the rig is made."""
    seen = Seen()
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


def test_one_silent_site_leaves_partial_answers_that_say_so_and_whole_ones_before_and_after():
    verdict = play(
        NEED,
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
    """The first part is of this list's zone, the second a whole answer of a gateway that gathers no further."""

    def wrong(request, result):
        body, made = base64.b64decode(result["body"]), None
        if request.arrival.kind.name != "report":
            return rows.fault(body, request.arrival.statement)
        made = rows.makers(body, request.arrival.statement)
        seen.whole += 1
        return None if made and len(made) == 2 and made[0][1] == "s0" else f"rows of {made}"

    return wrong


def test_gateways_that_gather_from_one_another_do_so_once():
    verdict = play(ALL.replace("s1", "far"), [], False, 3, MUTUAL, one_hop)
    assert verdict.figures["seen"].whole > 2


@pytest.mark.parametrize(
    "deed",
    [Step(at_ms=2_000, do="term", whom=("g0",)), Step(at_ms=2_000, do="mood", whom=("e1",), more={"resets": 1.0})],
)
def test_where_all_is_needed_nothing_partial_is_given_whatever_ends(deed):
    verdict = play(ALL, [deed], False)
    assert verdict.figures["seen"].whole and not verdict.figures["seen"].partial

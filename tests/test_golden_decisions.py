"""The decisions on a recorded stream of events: the same actions with the same values, in the same order."""

import json

import golden_decisions
import pytest

from rackhub import Router


@pytest.mark.parametrize("name", golden_decisions.SCENARIOS)
def test_the_recorded_events_lead_to_the_recorded_actions(name):
    scenario = golden_decisions.SCENARIOS[name]
    control = Router(golden_decisions.settings(**scenario.settings), seed=scenario.seed)
    taken = set()
    for step, (now, row, recorded) in enumerate(golden_decisions.read(name)):
        actions = [golden_decisions.row_of(action) for action in control.handle(now, golden_decisions.event_of(row))]
        assert json.loads(json.dumps(actions)) == recorded, (step, now, row)
        taken.update(action[0] for action in actions)
    assert taken >= {"send", "refuse", "timer"} and step > 5_000


def test_the_recordings_hold_every_event_and_every_action_that_decisions_take():
    events, actions = set(), set()
    for name in golden_decisions.SCENARIOS:
        for _, row, taken in golden_decisions.read(name):
            events.add(row[0])
            actions.update(action[0] for action in taken)
    assert events == golden_decisions.EVENTS.keys()
    assert actions == {"send", "terms", "cancel", "refuse", "fail", "timer", "probe", "tell", "subscribe"}

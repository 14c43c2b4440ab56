"""Replays recorded events: the decisions must give the recorded actions with the same values in the same order."""

import json

import golden_decisions
import pytest

from rackhub import Router


@pytest.mark.parametrize("name", golden_decisions.SCENARIOS)
def test_recorded_events_give_recorded_actions(name):
    scenario = golden_decisions.SCENARIOS[name]
    router = Router(golden_decisions.settings(**scenario.settings), seed=scenario.seed)
    actions_taken = set()
    for step, (now, row, recorded) in enumerate(golden_decisions.read(name)):
        actions = [
            golden_decisions.encode_action(action) for action in router.handle(now, golden_decisions.decode_event(row))
        ]
        assert json.loads(json.dumps(actions)) == recorded, (step, now, row)
        actions_taken.update(action[0] for action in actions)
    assert actions_taken >= {"send", "refuse", "timer"} and step > 5_000


def test_recordings_contain_all_events_and_actions():
    events, actions = set(), set()
    for name in golden_decisions.SCENARIOS:
        for _, row, actions_taken in golden_decisions.read(name):
            events.add(row[0])
            actions.update(action[0] for action in actions_taken)
    assert events == golden_decisions.EVENTS.keys()
    assert actions == {"send", "terms", "cancel", "refuse", "fail", "timer", "probe", "tell", "subscribe"}

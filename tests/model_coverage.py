"""How often a model's run reaches each of its rules and states, and a search of a model by seed.

A search that always takes the same steps shows nothing where it does not come to: `coverage_test` makes a test that
fails unless every rule was run and every state was seen.
"""

import functools
from collections import Counter
from collections.abc import Iterable

from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine


def count_coverage(model: type[RuleBasedStateMachine]) -> Counter:
    """Count the model's rules as they run, and the state after each where it has `coverage_state`."""
    reached: Counter = Counter()
    for name in rule_names(model):
        rule = getattr(model, name).hypothesis_stateful_rule
        object.__setattr__(rule, "function", _counted(rule.function, name, reached))
    return reached


def rule_names(model: type[RuleBasedStateMachine]) -> list[str]:
    return [name for name in dir(model) if hasattr(getattr(model, name), "hypothesis_stateful_rule")]


def _counted(function, name, reached):
    @functools.wraps(function)
    def counted(self, *arguments, **named):
        result = function(self, *arguments, **named)
        reached[name] += 1
        if hasattr(self, "coverage_state"):
            reached[f"state {self.coverage_state()}"] += 1
        return result

    return counted


def coverage_test(model: type[RuleBasedStateMachine], steps: settings, states: Iterable[str] = ()) -> type:
    """The model's test, which fails too where a rule is never run or one of `states` never seen."""
    reached = count_coverage(model)
    wanted = [*rule_names(model), *(f"state {state}" for state in states)]

    class ReachingTest(model.TestCase):
        settings = steps

        def runTest(self):  # noqa: N802 - unittest's name
            reached.clear()
            super().runTest()
            missing = [name for name in wanted if not reached[name]]
            print(table(model.__name__, reached))  # shown by pytest -rP
            assert not missing, f"never reached: {missing}"

    ReachingTest.__name__ = ReachingTest.__qualname__ = model.__name__
    return ReachingTest


def table(name: str, reached: Counter) -> str:
    """One line of the models' reach: rules and states with how often each was reached."""
    return f"{name}: " + ", ".join(f"{what} {count}" for what, count in sorted(reached.items()))

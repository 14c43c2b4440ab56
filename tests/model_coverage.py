"""Counts how often a run of a state-machine model covers each of its rules and states.

A derandomized search always takes the same steps and shows nothing about the rules and states that it does not cover.
`coverage_test` creates a test that fails unless every rule was run and every state was seen.
"""

import functools
from collections import Counter
from collections.abc import Iterable

from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine


def count_coverage(model: type[RuleBasedStateMachine]) -> Counter:
    """Count the rules of a model that are run, and the state after each if the model has `coverage_state`."""
    covered: Counter = Counter()
    for name in rule_names(model):
        rule = getattr(model, name).hypothesis_stateful_rule
        object.__setattr__(rule, "function", _counted(rule.function, name, covered))
    return covered


def rule_names(model: type[RuleBasedStateMachine]) -> list[str]:
    return [name for name in dir(model) if hasattr(getattr(model, name), "hypothesis_stateful_rule")]


def _counted(function, name, covered):
    @functools.wraps(function)
    def counted(self, *arguments, **named):
        result = function(self, *arguments, **named)
        covered[name] += 1
        if hasattr(self, "coverage_state"):
            covered[f"state {self.coverage_state()}"] += 1
        return result

    return counted


def coverage_test(model: type[RuleBasedStateMachine], steps: settings, states: Iterable[str] = ()) -> type:
    """Return the model's test, which also fails if a rule is never run or one of `states` is never seen."""
    covered = count_coverage(model)
    required = [*rule_names(model), *(f"state {state}" for state in states)]

    class CoverageTest(model.TestCase):
        settings = steps

        def runTest(self):  # noqa: N802 - unittest's name
            covered.clear()
            super().runTest()
            missing = [name for name in required if not covered[name]]
            print(table(model.__name__, covered))  # pytest -rP shows it
            assert not missing, f"never covered: {missing}"

    CoverageTest.__name__ = CoverageTest.__qualname__ = model.__name__
    return CoverageTest


def table(name: str, covered: Counter) -> str:
    """Return one line with the number of times that each rule and state was covered."""
    return f"{name}: " + ", ".join(f"{item} {count}" for item, count in sorted(covered.items()))

"""The optional components of the daemon, in the order of their start. One that is off is not imported."""

from importlib import import_module
from typing import Any

from rackhub.config import Config
from rackhub.core.component import Component, ComponentContext
from rackhub.operatorfile import Operator

# component -> the entry point `module:function` that creates it; each starts after those above it and stops before them
ENTRY_POINTS = {
    "store": "rackhub.state.component:create_component",
    "timings": "rackhub.timings.component:create_component",
    "ops": "rackhub.ops.component:create_component",
    "fleet": "rackhub.fleet.part:create_component",
    "gather": "rackhub.gather.component:create_component",
}
RELOADABLE = ("timings",)  # may be turned on by a reload; the others take a restart


def enabled(config: Config, operator: Operator) -> list[str]:
    """The names of the components that are on, in the order of their start."""
    conditions = {
        "ops": config.operator is not None,
        # the rule set may enable gathers at any time; the check of the operator's file rejects them with `peers`
        "gather": operator.gather is not None or _rules_may_enable_gathers(operator.fleet or {}),
    }
    return [name for name in ENTRY_POINTS if conditions.get(name, getattr(operator, name, None) is not None)]


def _rules_may_enable_gathers(fleet: dict[str, Any]) -> bool:
    return bool(fleet.get("keepers")) or fleet.get("role") == "coordinator"


def load(name: str, context: ComponentContext) -> Component:
    """Import and create a component. Raises `ComponentStartError`."""
    module_name, function_name = ENTRY_POINTS[name].split(":")
    component = getattr(import_module(module_name), function_name)(context)
    assert isinstance(component, Component)
    return component

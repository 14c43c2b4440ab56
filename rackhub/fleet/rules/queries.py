"""Calls that only read the rules: one version, the history, a difference, the status of all gateways.

Each function returns the JSON object that the command line prints, and raises `ChangeRejectedError` for a version that
is not retained at this gateway.
"""

from collections.abc import Mapping
from typing import Any

import msgspec

from rackhub.fleet.rules.dissemination import gossiped_statuses
from rackhub.fleet.rules.messages import ChangeRejectedError, GossipedStatus, Version
from rackhub.fleet.rules.ports import RulesView
from rackhub.fleet.rules.requests import Request


def show(rules: RulesView, request: Request) -> Mapping[str, Any]:
    """Return one version with its content, and the number of the version that applies at this gateway."""
    return {
        "version": to_json(_find_version(rules, request.version)),
        "held": rules.active.version,
        "on_trial": rules.active.on_trial,
    }


def history(rules: RulesView, request: Request) -> Mapping[str, Any]:
    """Return the newest `limit` versions without their contents, newest first. Raises `ValueError`."""
    if request.limit < 1:
        raise ValueError(f"limit: {request.limit} is below 1")
    newest_first = rules.tracker.rule_set.versions[-request.limit :][::-1]
    return {"versions": [_without_content(version) for version in newest_first]}


def diff(rules: RulesView, request: Request) -> Mapping[str, Any]:
    """Return the sections that differ between two versions; the old version defaults to the new version's parent."""
    new = _find_version(rules, request.version)
    old = _find_version(rules, request.old_version if request.old_version >= 0 else max(new.number - 1, 0))
    names = sorted(set(old.content) | set(new.content))
    sections = {
        name: {"old": old.content.get(name), "new": new.content.get(name)}
        for name in names
        if old.content.get(name) != new.content.get(name)
    }
    return {"old": old.number, "new": new.number, "parts": sections}


def status(rules: RulesView, request: Request) -> Mapping[str, Any]:
    """Return each gateway's version and whether it votes in the register, and the open trial."""
    statuses = gossiped_statuses(rules.fleet)
    names = sorted(set(rules.fleet.members.all()) | set(statuses))
    return {
        "gateway": rules.gateway,
        "version": rules.active.version,
        "newest": rules.tracker.rule_set.newest_number,
        "keepers": list(rules.acceptors),
        "damage": rules.damage_report(),
        "gateways": [_gateway_status(rules, name, statuses.get(name)) for name in names],
        "trial": _trial_status(rules),
    }


def to_json(version: Version) -> dict[str, Any]:
    """Return a version as a JSON object with its kind, parent and digest."""
    fields = msgspec.to_builtins(version)
    return {**fields, "kind": version.kind, "parent": version.parent, "digest": version.digest()}


def _without_content(version: Version) -> dict[str, Any]:
    return {key: value for key, value in to_json(version).items() if key != "content"}


def _find_version(rules: RulesView, number: int) -> Version:
    rule_set = rules.tracker.rule_set
    requested = rule_set.newest_number if number < 0 else number
    found = rule_set.find(requested)
    if found is not None:
        return found
    if requested == 0:
        return Version(
            number=0,
            content={},
            author="-",
            reason="the operator's files apply",
            created_at=0,
            gateway=rules.gateway,
            id="-",
        )
    oldest = rule_set.versions[0].number if rule_set.versions else 0
    raise ChangeRejectedError(f"version {requested} is not retained: {oldest} to {rule_set.newest_number} are")


def _gateway_status(rules: RulesView, name: str, status: GossipedStatus | None) -> Mapping[str, Any]:
    members = rules.fleet.members
    member = members.all().get(name)
    row: dict[str, Any] = {
        "name": name,
        "lives": name in members.live(),
        "heard": name in members.reachable(),
        "state": member.state.value if member is not None else "unknown",
    }
    if status is None:
        return row | {"version": None}
    return row | {
        "version": status.version,
        "on_trial": status.on_trial,
        "newest": status.newest,
        "why": status.fault,
        "keeper": status.acceptor_status,
        "digest": status.digest,
    }


def _trial_status(rules: RulesView) -> Mapping[str, Any] | None:
    version = rules.tracker.open_trial()
    if version is None or version.trial is None:
        return None
    trial_counts, other_counts = rules.trials.counts
    return {
        "version": version.number,
        "author": version.author,
        "first": list(version.trial.gateways),
        "left_ms": rules.tracker.trial_remaining(rules.fleet.clock.now()) // 1_000,
        "on": list(trial_counts),
        "off": list(other_counts),
    }

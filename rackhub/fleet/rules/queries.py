"""Calls that only read the rules: one version, the history, a difference, the status of all gateways.

Each returns the JSON object that the command line prints. Raises `ChangeRejectedError` for a version that is not
retained here.
"""

from collections.abc import Mapping
from typing import Any

import msgspec

from rackhub.fleet.rules.dissemination import gossiped_statuses
from rackhub.fleet.rules.messages import ChangeRejectedError, GossipedStatus, Version
from rackhub.fleet.rules.ports import RulesView
from rackhub.fleet.rules.requests import Request


def show(rules: RulesView, request: Request) -> Mapping[str, Any]:
    """Return one version with its content, and the one that applies at this gateway."""
    return {
        "version": to_json(_version(rules, request.version)),
        "held": rules.active.version,
        "on_trial": rules.active.on_trial,
    }


def history(rules: RulesView, request: Request) -> Mapping[str, Any]:
    """Return the newest versions without their contents, newest first."""
    if request.limit < 1:
        raise ValueError(f"limit: {request.limit} is below 1")
    newest_first = rules.tracker.rule_set.versions[-request.limit :][::-1]
    return {"versions": [_without_content(version) for version in newest_first]}


def diff(rules: RulesView, request: Request) -> Mapping[str, Any]:
    """Return the sections that differ between two versions; the older one defaults to the newer one's parent."""
    new = _version(rules, request.version)
    old = _version(rules, request.old_version if request.old_version >= 0 else max(new.number - 1, 0))
    names = sorted(set(old.content) | set(new.content))
    sections = {
        name: {"old": old.content.get(name), "new": new.content.get(name)}
        for name in names
        if old.content.get(name) != new.content.get(name)
    }
    return {"old": old.number, "new": new.number, "parts": sections}


def status(rules: RulesView, request: Request) -> Mapping[str, Any]:
    """Return the version that applies at each gateway, who votes, and the open trial."""
    statuses = gossiped_statuses(rules.fleet)
    names = sorted(set(rules.fleet.members.all()) | set(statuses))
    return {
        "gateway": rules.gateway,
        "version": rules.active.version,
        "newest": rules.tracker.rule_set.newest_number,
        "keepers": list(rules.acceptors),
        "damage": rules.damage_report(),
        "gateways": [_gateway(rules, name, statuses.get(name)) for name in names],
        "trial": _trial(rules),
    }


def to_json(version: Version) -> dict[str, Any]:
    """Return a version as JSON, with what is derived from it."""
    plain = msgspec.to_builtins(version)
    return {**plain, "kind": version.kind, "parent": version.parent, "digest": version.digest()}


def _without_content(version: Version) -> dict[str, Any]:
    return {key: value for key, value in to_json(version).items() if key != "content"}


def _version(rules: RulesView, number: int) -> Version:
    rule_set = rules.tracker.rule_set
    wanted = rule_set.newest_number if number < 0 else number
    found = rule_set.find(wanted)
    if found is not None:
        return found
    if wanted == 0:
        return Version(
            number=0,
            content={},
            author="-",
            reason="the files hold",
            created_at=0,
            gateway=rules.gateway,
            id="-",
        )
    oldest = rule_set.versions[0].number if rule_set.versions else 0
    raise ChangeRejectedError(f"version {wanted} is not kept here: there are {oldest} to {rule_set.newest_number}")


def _gateway(rules: RulesView, name: str, status: GossipedStatus | None) -> Mapping[str, Any]:
    members = rules.fleet.members
    known = members.all().get(name)
    row: dict[str, Any] = {
        "name": name,
        "lives": name in members.live(),
        "heard": name in members.reachable(),
        "state": known.state.value if known is not None else "unknown",
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


def _trial(rules: RulesView) -> Mapping[str, Any] | None:
    version = rules.tracker.open_trial()
    if version is None or version.trial is None:
        return None
    on, off = rules.trials.counts
    return {
        "version": version.number,
        "author": version.author,
        "first": list(version.trial.gateways),
        "left_ms": rules.tracker.trial_remaining(rules.fleet.clock.now()) // 1_000,
        "on": list(on),
        "off": list(off),
    }

"""Calls that only read the rule book: one version, the history, a difference, the status of all gateways.

Each gives the JSON object that the command line prints. Raises `Refused` for a version that is not kept here.
"""

from collections.abc import Mapping
from typing import Any

import msgspec

from rackhub.fleet.rules.ports import RuleBookView
from rackhub.fleet.rules.requests import Request
from rackhub.fleet.rules.spread import posts
from rackhub.fleet.rules.words import Post, Refused, Version


def show(book: RuleBookView, request: Request) -> Mapping[str, Any]:
    """One version with its content, and which one this gateway holds."""
    return {
        "version": described(_version(book, request.version)),
        "held": book.held.version,
        "on_trial": book.held.on,
    }


def history(book: RuleBookView, request: Request) -> Mapping[str, Any]:
    """The newest versions without their contents, newest first."""
    if request.limit < 1:
        raise ValueError(f"limit: {request.limit} is below 1")
    newest_first = book.holder.book.versions[-request.limit :][::-1]
    return {"versions": [_without_content(version) for version in newest_first]}


def diff(book: RuleBookView, request: Request) -> Mapping[str, Any]:
    """The parts that differ between two versions; the older one is the newer one's parent where it is not given."""
    new = _version(book, request.version)
    old = _version(book, request.old if request.old >= 0 else max(new.number - 1, 0))
    names = sorted(set(old.content) | set(new.content))
    parts = {
        name: {"old": old.content.get(name), "new": new.content.get(name)}
        for name in names
        if old.content.get(name) != new.content.get(name)
    }
    return {"old": old.number, "new": new.number, "parts": parts}


def status(book: RuleBookView, request: Request) -> Mapping[str, Any]:
    """Which version each gateway holds, who votes, and the trial that is open."""
    seen = posts(book.fleet)
    names = sorted(set(book.fleet.members.all()) | set(seen))
    return {
        "gateway": book.me,
        "version": book.held.version,
        "newest": book.holder.book.newest,
        "keepers": list(book.keepers),
        "damage": book.damages(),
        "gateways": [_gateway(book, name, seen.get(name)) for name in names],
        "trial": _trial(book),
    }


def described(version: Version) -> dict[str, Any]:
    """A version as JSON, with what is derived from it."""
    plain = msgspec.to_builtins(version)
    return {**plain, "kind": version.kind, "parent": version.parent, "digest": version.digest()}


def _without_content(version: Version) -> dict[str, Any]:
    return {key: value for key, value in described(version).items() if key != "content"}


def _version(book: RuleBookView, number: int) -> Version:
    kept = book.holder.book
    wanted = kept.newest if number < 0 else number
    found = kept.find(wanted)
    if found is not None:
        return found
    if wanted == 0:
        return Version(0, {}, "-", "the files hold", 0, book.me, "-")
    oldest = kept.versions[0].number if kept.versions else 0
    raise Refused(f"version {wanted} is not kept here: there are {oldest} to {kept.newest}")


def _gateway(book: RuleBookView, name: str, post: Post | None) -> Mapping[str, Any]:
    members = book.fleet.members
    known = members.all().get(name)
    row: dict[str, Any] = {
        "name": name,
        "lives": name in members.living(),
        "heard": name in members.heard(),
        "state": known.state.value if known is not None else "unknown",
    }
    if post is None:
        return row | {"version": None}
    return row | {
        "version": post.version,
        "on_trial": post.on,
        "newest": post.newest,
        "why": post.why,
        "keeper": post.keeper,
        "digest": post.digest,
    }


def _trial(book: RuleBookView) -> Mapping[str, Any] | None:
    version = book.holder.trial()
    if version is None or version.trial is None:
        return None
    on, off = book.trials.sides
    return {
        "version": version.number,
        "author": version.author,
        "first": list(version.trial.first),
        "left_ms": book.holder.left(book.fleet.clock.now()) // 1_000,
        "on": list(on),
        "off": list(off),
    }

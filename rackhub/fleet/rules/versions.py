"""Pure functions that apply changes to a rule set and merge rule sets. Existing versions are never changed."""

import msgspec

from rackhub.fleet.rules.messages import (
    MAX_CONTENT_BYTES,
    MAX_RETAINED_VERSIONS,
    MAX_RULE_SET_BYTES,
    MAX_TEXT_LENGTH,
    ChangeRejectedError,
    EditRequest,
    RuleSet,
    Version,
    encode,
)

MAX_NAMED_CONFLICTS = 3  # newer versions that the error message of a conflict names


def content_of(rule_set: RuleSet, number: int) -> dict[str, object]:
    """Return the content of a version; empty for version 0, which stands for the operator's files."""
    version = rule_set.find(number)
    return version.content if version is not None else {}


def is_retained(rule_set: RuleSet, number: int) -> bool:
    """Return whether a version's content is retained.

    That of version 0 is as long as version 1 is retained or there is no version yet.
    """
    if rule_set.find(number) is not None:
        return True
    return number == 0 and (not rule_set.versions or rule_set.find(1) is not None)


def apply(rule_set: RuleSet, request: EditRequest) -> tuple[RuleSet, Version]:
    """Return the rule set after a change, and the version that the change made.

    A request is idempotent by its id: if a request with this id has already made a version, the rule set is returned
    unchanged with that version. Raises `ChangeRejectedError`.
    """
    existing = next((version for version in reversed(rule_set.versions) if version.id == request.id), None)
    if existing is not None:
        _require_same_request(existing, request)
        return rule_set, existing
    _require_texts(request)
    _require_newest_base(rule_set, request)
    _require_trial_state(rule_set, request)
    source = _source_version(rule_set, request)
    new_version = Version(
        number=rule_set.newest_number + 1,
        content=_changed_content(rule_set, request, source),
        author=request.author,
        reason=request.reason,
        created_at=request.created_at,
        gateway=request.gateway,
        id=request.id,
        kind=request.kind,
        source_version=source if request.kind != "edit" else 0,
        trial=request.trial if request.kind == "edit" else None,
    )
    return trim(RuleSet((*rule_set.versions, new_version))), new_version


def _require_same_request(existing: Version, request: EditRequest) -> None:
    if (existing.kind, existing.author, existing.reason) == (request.kind, request.author, request.reason):
        return
    raise ChangeRejectedError(
        f"id {request.id!r} was used by {existing.author}: version {existing.number}, {existing.reason!r}"
    )


def _require_texts(request: EditRequest) -> None:
    for key, text in (("author", request.author), ("reason", request.reason), ("id", request.id)):
        if not 0 < len(text) <= MAX_TEXT_LENGTH:
            raise ChangeRejectedError(f"{key}: {text[:40]!r}: 1 to {MAX_TEXT_LENGTH} characters are allowed")


def _require_newest_base(rule_set: RuleSet, request: EditRequest) -> None:
    base = request.base_version
    newest = rule_set.newest_number
    if base > newest:
        raise ChangeRejectedError(f"there is no version {base} yet: the newest is {newest}")
    if base < newest:
        newer = [version for version in rule_set.versions if version.number > base]
        conflicts = "; ".join(
            f"version {version.number} by {version.author} ({version.reason})"
            for version in newer[-MAX_NAMED_CONFLICTS:]
        )
        raise ChangeRejectedError(
            f"{request.author}'s {request.kind} ({request.reason}) builds on version {base}; "
            f"since then there is {conflicts}"
        )


def _require_trial_state(rule_set: RuleSet, request: EditRequest) -> None:
    """Reject a confirmation or lapse if no trial is open, and an edit if one is."""
    newest = rule_set.newest
    trial = newest if newest is not None and newest.trial is not None else None
    if request.kind in ("confirm", "lapse") and trial is None:
        raise ChangeRejectedError(f"version {rule_set.newest_number} is not on trial")
    if request.kind == "edit" and trial is not None:
        raise ChangeRejectedError(
            f"version {trial.number} by {trial.author} ({trial.reason}) is on trial: confirm or undo it first"
        )


def _changed_content(rule_set: RuleSet, request: EditRequest, source: int) -> dict[str, object]:
    merged = {**content_of(rule_set, source), **request.changes}
    content = {name: section for name, section in merged.items() if section is not None}
    newest = rule_set.newest_number
    if request.kind != "confirm" and content == content_of(rule_set, newest):
        raise ChangeRejectedError(f"the request changes nothing: version {newest} has the same content")
    size = len(encode(content))
    if size > MAX_CONTENT_BYTES:
        raise ChangeRejectedError(f"the content has {size} bytes, more than {MAX_CONTENT_BYTES}")
    return content


def _source_version(rule_set: RuleSet, request: EditRequest) -> int:
    """Return the number of the version whose content the new version starts from."""
    newest = rule_set.newest_number
    if request.kind in ("edit", "confirm"):
        return newest
    if request.kind == "lapse":
        return newest - 1
    if not rule_set.versions:
        raise ChangeRejectedError("there is no version to undo")
    target = request.target_version if request.target_version >= 0 else _newest_different(rule_set)
    if not 0 <= target < newest or not is_retained(rule_set, target):
        oldest = 0 if is_retained(rule_set, 0) else rule_set.versions[0].number
        raise ChangeRejectedError(
            f"version {target} is not a retained earlier version: {oldest} to {newest} are retained"
        )
    return target


def _newest_different(rule_set: RuleSet) -> int:
    """Return the number of the newest earlier version with a different content.

    The version before the newest may have the same content, because a confirmation repeats the content of the trial.
    """
    newest = rule_set.newest_number
    number = newest - 1
    while is_retained(rule_set, number) and content_of(rule_set, number) == content_of(rule_set, newest):
        number -= 1
    return number


def trim(rule_set: RuleSet) -> RuleSet:
    """Drop the oldest versions until the limits of count and size are met, but never the newest two."""
    versions = rule_set.versions[-MAX_RETAINED_VERSIONS:]
    sizes = [len(encode(version)) for version in versions]
    while len(versions) > 2 and sum(sizes) > MAX_RULE_SET_BYTES:
        versions = versions[1:]
        sizes = sizes[1:]
    return RuleSet(versions)


def merge(rule_set: RuleSet, received: tuple[Version, ...]) -> tuple[RuleSet, list[int]]:
    """Return the rule set with another gateway's versions, and the numbers of the versions that differ between the two.

    Gateways send only versions that a majority of the acceptors chose, so no version should differ. If one does, the
    local version is kept.
    """
    known = {version.number: version for version in rule_set.versions}
    conflicts = [version.number for version in received if version.number in known and known[version.number] != version]
    by_number = {**{version.number: version for version in received}, **known}
    number = max(by_number, default=0)
    consecutive = []
    while number in by_number:
        consecutive.append(by_number[number])
        number -= 1
    return trim(RuleSet(tuple(reversed(consecutive)))), conflicts


def decode_rule_set(value: bytes | None) -> RuleSet:
    """Decode the register's value; None means that it was never written. Raises `msgspec.MsgspecError`."""
    return msgspec.msgpack.decode(value, type=RuleSet) if value is not None else RuleSet()

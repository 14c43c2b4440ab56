"""Converts the content of the rule set to keys and values of distribution, and back, by pure functions.

A section is a table of settings, and most settings are arrays of tables. Each setting has its own key, and so has each
item of an array of tables: `rules/<part>/<setting>` and `rules/<part>/<setting>/<rank>`, where the part is the section.
Ranks leave gaps, and unchanged items keep theirs, so that adding or removing an item in the middle changes only one
key.
"""

from collections.abc import Mapping, Sequence
from difflib import SequenceMatcher
from typing import Any
from urllib.parse import quote, unquote

import msgspec

from rackhub.fleet.distribution.limits import MAX_ENTRY_VALUE_BYTES, MAX_KEY_BYTES

PREFIX = "rules/"
RANK_DIGITS = 12  # number of hexadecimal digits of a rank in a key
RANK_STEP = 1 << 24  # distance between two items of a new array
MAX_SHOWN_CHARS = 60  # characters of a key that are shown in an error

Content = Mapping[str, Any]
Values = Mapping[str, bytes]

encode_value = msgspec.msgpack.Encoder(order="deterministic").encode


class RuleKeyError(ValueError):
    """An unusable key. `key` is its name; the message gives the reason."""

    def __init__(self, key: str, reason: str):
        super().__init__(f"{key[:MAX_SHOWN_CHARS]}: {reason}")
        self.key, self.reason = key, reason


# ---- from content to keys


def flatten(content: Content, current: Values) -> dict[str, bytes]:
    """Return the content's keys and values. Array items keep the ranks that they have in `current`."""
    values: dict[str, bytes] = {}
    for section_name, section in content.items():
        section_key = PREFIX + quote(section_name, safe="")
        if not isinstance(section, Mapping):
            raise RuleKeyError(section_key, f"{section!r:.{MAX_SHOWN_CHARS}} is not a table")
        if not section:
            values[section_key] = _encode_checked(section_key, {})
        for name, setting in section.items():
            key = f"{section_key}/{quote(name, safe='')}"
            if _is_array_of_tables(setting):
                values |= _flatten_items(key, setting, current)
            else:
                values[key] = _encode_checked(key, setting)
    return values


def _is_array_of_tables(setting: Any) -> bool:
    return isinstance(setting, list | tuple) and bool(setting) and all(isinstance(item, Mapping) for item in setting)


def _flatten_items(key: str, items: Sequence[Any], current: Values) -> dict[str, bytes]:
    """Return one key for each item, in order of rank."""
    current_items = _items_at(f"{key}/", current)
    encoded = [_encode_checked(f"{key}[{number}]", item) for number, item in enumerate(items)]
    ranks = _ranks([rank for rank, _ in current_items], [value for _, value in current_items], encoded)
    return {f"{key}/{rank:0{RANK_DIGITS}x}": value for rank, value in zip(ranks, encoded, strict=True)}


def _items_at(prefix: str, values: Values) -> list[tuple[int, bytes]]:
    return sorted((_rank_of(key), value) for key, value in values.items() if key.startswith(prefix))


def _rank_of(key: str) -> int:
    digits = key.rpartition("/")[2]
    try:
        return int(digits, 16)
    except ValueError:
        raise RuleKeyError(key, f"{digits!r:.{MAX_SHOWN_CHARS}} is not the rank of an item") from None


def _ranks(old_ranks: list[int], old: list[bytes], new: list[bytes]) -> list[int]:
    """Return increasing ranks for the new items.

    Items that stay, or are replaced in place, keep their ranks as long as there are free ranks between them.
    """
    kept: list[int | None] = [None] * len(new)
    for kind, old_from, old_to, new_from, new_to in SequenceMatcher(None, old, new, autojunk=False).get_opcodes():
        if kind in ("equal", "replace"):
            for offset in range(min(old_to - old_from, new_to - new_from)):
                kept[new_from + offset] = old_ranks[old_from + offset]
    ranks = _fill_ranks(kept)
    return ranks if ranks is not None else [(number + 1) * RANK_STEP for number in range(len(new))]


def _fill_ranks(kept: list[int | None]) -> list[int] | None:
    """Return a rank for each item.

    Items without one get ranks evenly spaced between their neighbours. Return None if the gaps are too small.
    """
    ranks: list[int] = []
    position = 0
    while position < len(kept):
        rank = kept[position]
        if rank is not None:
            ranks.append(rank)
            position += 1
            continue
        end = next((later for later in range(position, len(kept)) if kept[later] is not None), len(kept))
        count = end - position
        low = ranks[-1] if ranks else 0
        high = kept[end] if end < len(kept) else low + (count + 1) * RANK_STEP
        assert high is not None
        step = (high - low) // (count + 1)
        if step < 1:
            return None
        ranks.extend(low + step * (number + 1) for number in range(count))
        position = end
    return ranks if not ranks or ranks[-1] < 1 << (4 * RANK_DIGITS) else None


def _encode_checked(key: str, setting: Any) -> bytes:
    try:
        value = encode_value(setting)
    except (TypeError, ValueError, OverflowError) as bad:
        raise RuleKeyError(key, f"can't be encoded: {bad}") from None
    key_bytes = len(key.encode())
    if key_bytes > MAX_KEY_BYTES:
        raise RuleKeyError(key, f"the key has {key_bytes} bytes, more than {MAX_KEY_BYTES}")
    if len(value) > MAX_ENTRY_VALUE_BYTES:
        raise RuleKeyError(key, f"its value has {len(value)} bytes, more than {MAX_ENTRY_VALUE_BYTES}")
    return value


# ---- from keys to content


def assemble(values: Values) -> dict[str, dict[str, Any]]:
    """Return the content for these keys. Raises `RuleKeyError` for a key or value that `flatten` never produces."""
    content: dict[str, dict[str, Any]] = {}
    for key in sorted(values):
        names = [unquote(name) for name in key.removeprefix(PREFIX).split("/")]
        if not key.startswith(PREFIX) or not 1 <= len(names) <= 3:
            raise RuleKeyError(key, f"is not a key of the rule set: {PREFIX}<part>/<setting>[/<rank>]")
        section = content.setdefault(names[0], {})
        if len(names) == 2:
            section[names[1]] = _read(key, values[key])
        elif len(names) == 3:
            _rank_of(key)
            items = section.setdefault(names[1], [])
            if not isinstance(items, list):
                raise RuleKeyError(key, f"{names[1]} is not an array of tables")
            items.append(_read(key, values[key]))
    return content


def _read(key: str, value: bytes) -> Any:
    try:
        return msgspec.msgpack.decode(value)
    except (msgspec.MsgspecError, UnicodeDecodeError, ValueError) as bad:
        raise RuleKeyError(key, f"its value can't be decoded: {bad}") from None


def section_of(key: str) -> str:
    """Return the section that a key belongs to. Raises `RuleKeyError` if it is not a key of the rule set."""
    if not key.startswith(PREFIX):
        raise RuleKeyError(key, f"is not a key of the rule set: {PREFIX}<part>/<setting>[/<rank>]")
    return unquote(key.removeprefix(PREFIX).split("/")[0])


# ---- changes


def difference(old: Values, new: Values) -> dict[str, bytes | None]:
    """Return the changes from `old` to `new`; None means that a key is deleted."""
    changed: dict[str, bytes | None] = {key: None for key in old if key not in new}
    changed |= {key: value for key, value in new.items() if old.get(key) != value}
    return dict(sorted(changed.items()))

"""The rule book's content as keys and values of distribution, and back. Pure.

A part is a table of settings, and most settings are arrays of tables. Each setting has a key of its own, and each item
of an array of tables has one: `rules/<part>/<setting>` and `rules/<part>/<setting>/<rank>`. Ranks leave room between
one another, and items that stay keep theirs, so that an item put in or taken out in the middle is one key's change.
"""

from collections.abc import Mapping, Sequence
from difflib import SequenceMatcher
from typing import Any
from urllib.parse import quote, unquote

import msgspec

from rackhub.fleet.distribution.limits import MAX_KEY_BYTES, VALUE_BYTES

PREFIX = "rules/"
RANK_DIGITS = 12  # hexadecimal
RANK_STEP = 1 << 24  # between two items of an array that is new
SHOWN = 60  # letters of a key in a refusal

Content = Mapping[str, Any]
Values = Mapping[str, bytes]

encode_value = msgspec.msgpack.Encoder(order="deterministic").encode


class RuleKeyError(ValueError):
    """A key that can't be used; `key` is its name, the text says why."""

    def __init__(self, key: str, reason: str):
        super().__init__(f"{key[:SHOWN]}: {reason}")
        self.key, self.reason = key, reason


# ---- from content to keys


def flatten(content: Content, standing: Values) -> dict[str, bytes]:
    """The content's keys and values. Items of arrays keep the ranks that they have in `standing`."""
    values: dict[str, bytes] = {}
    for part_name, part in content.items():
        part_key = PREFIX + quote(part_name, safe="")
        if not isinstance(part, Mapping):
            raise RuleKeyError(part_key, f"{part!r:.{SHOWN}} is not a table")
        if not part:
            values[part_key] = _checked(part_key, {})
        for name, setting in part.items():
            key = f"{part_key}/{quote(name, safe='')}"
            if _is_array_of_tables(setting):
                values |= _flatten_items(key, setting, standing)
            else:
                values[key] = _checked(key, setting)
    return values


def _is_array_of_tables(setting: Any) -> bool:
    return isinstance(setting, list | tuple) and bool(setting) and all(isinstance(item, Mapping) for item in setting)


def _flatten_items(key: str, items: Sequence[Any], standing: Values) -> dict[str, bytes]:
    """One key for each item, in order of rank."""
    found = _items_at(f"{key}/", standing)
    encoded = [_checked(f"{key}[{number}]", item) for number, item in enumerate(items)]
    ranks = _ranks([rank for rank, _ in found], [value for _, value in found], encoded)
    return {f"{key}/{rank:0{RANK_DIGITS}x}": value for rank, value in zip(ranks, encoded, strict=True)}


def _items_at(prefix: str, values: Values) -> list[tuple[int, bytes]]:
    return sorted((_rank_of(key), value) for key, value in values.items() if key.startswith(prefix))


def _rank_of(key: str) -> int:
    digits = key.rpartition("/")[2]
    try:
        return int(digits, 16)
    except ValueError:
        raise RuleKeyError(key, f"{digits!r:.{SHOWN}} is no rank of an item") from None


def _ranks(old_ranks: list[int], old: list[bytes], new: list[bytes]) -> list[int]:
    """A rank for each new item, growing. Items that stay or are replaced in place keep theirs, as far as there is
    room."""
    kept: list[int | None] = [None] * len(new)
    for kind, old_from, old_to, new_from, new_to in SequenceMatcher(None, old, new, autojunk=False).get_opcodes():
        if kind in ("equal", "replace"):
            for offset in range(min(old_to - old_from, new_to - new_from)):
                kept[new_from + offset] = old_ranks[old_from + offset]
    ranks = _fill(kept)
    return ranks if ranks is not None else [(number + 1) * RANK_STEP for number in range(len(new))]


def _fill(kept: list[int | None]) -> list[int] | None:
    """Ranks for those without one, evenly between their neighbours; None where there is no room for them."""
    ranks: list[int] = []
    position = 0
    while position < len(kept):
        rank = kept[position]
        if rank is not None:
            ranks.append(rank)
            position += 1
            continue
        end = next((later for later in range(position, len(kept)) if kept[later] is not None), len(kept))
        wanted = end - position
        low = ranks[-1] if ranks else 0
        high = kept[end] if end < len(kept) else low + (wanted + 1) * RANK_STEP
        assert high is not None
        step = (high - low) // (wanted + 1)
        if step < 1:
            return None
        ranks.extend(low + step * (number + 1) for number in range(wanted))
        position = end
    return ranks if not ranks or ranks[-1] < 1 << (4 * RANK_DIGITS) else None


def _checked(key: str, setting: Any) -> bytes:
    try:
        value = encode_value(setting)
    except (TypeError, ValueError, OverflowError) as bad:
        raise RuleKeyError(key, f"can't be written: {bad}") from None
    key_bytes = len(key.encode())
    if key_bytes > MAX_KEY_BYTES:
        raise RuleKeyError(key, f"the key has {key_bytes} bytes, more than {MAX_KEY_BYTES}")
    if len(value) > VALUE_BYTES:
        raise RuleKeyError(key, f"its value has {len(value)} bytes, more than {VALUE_BYTES}")
    return value


# ---- from keys to content


def assemble(values: Values) -> dict[str, dict[str, Any]]:
    """The content that the keys stand for. Raises `RuleKeyError` for a key or value that `flatten` never makes."""
    content: dict[str, dict[str, Any]] = {}
    for key in sorted(values):
        names = [unquote(name) for name in key.removeprefix(PREFIX).split("/")]
        if not key.startswith(PREFIX) or not 1 <= len(names) <= 3:
            raise RuleKeyError(key, f"is no key of the rule book: {PREFIX}<part>/<setting>[/<rank>]")
        part = content.setdefault(names[0], {})
        if len(names) == 2:
            part[names[1]] = _read(key, values[key])
        elif len(names) == 3:
            _rank_of(key)
            items = part.setdefault(names[1], [])
            if not isinstance(items, list):
                raise RuleKeyError(key, f"{names[1]} is not an array of tables")
            items.append(_read(key, values[key]))
    return content


def _read(key: str, value: bytes) -> Any:
    try:
        return msgspec.msgpack.decode(value)
    except (msgspec.MsgspecError, UnicodeDecodeError, ValueError) as bad:
        raise RuleKeyError(key, f"its value can't be read: {bad}") from None


def part_of(key: str) -> str:
    """The part of the rule book that a key belongs to. Raises `RuleKeyError` where it belongs to none."""
    if not key.startswith(PREFIX):
        raise RuleKeyError(key, f"is no key of the rule book: {PREFIX}<part>/<setting>[/<rank>]")
    return unquote(key.removeprefix(PREFIX).split("/")[0])


# ---- changes


def difference(old: Values, new: Values) -> dict[str, bytes | None]:
    """What makes `new` out of `old`: new values, and None for keys that go."""
    changed: dict[str, bytes | None] = {key: None for key in old if key not in new}
    changed |= {key: value for key, value in new.items() if old.get(key) != value}
    return dict(sorted(changed.items()))

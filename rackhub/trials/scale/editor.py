"""The changes of a run: what is in force at its start, and edits at a pace, drawn from a seed."""

import random

from rackhub.fleet.distribution.events import StoredState
from rackhub.fleet.distribution.messages import Change, Entry
from rackhub.fleet.distribution.rules import encode_value
from rackhub.trials.scale.layout import GLOBAL_KEYS, RULE_KEYS, zone_keys
from rackhub.trials.scale.settings import CHANGES_A_DAY, DAY_SECONDS

GLOBAL_COUNT, ZONE_COUNT = 64, 8  # keys that there are of each prefix
VALUE_BYTES = 250  # of one value: a rule or an engine's record
RULE_SHARE, GLOBAL_SHARE = 0.1, 0.65  # of edits of the rule book, and of others that concern every coordinator
RULES = {name: f"{RULE_KEYS}timings/route/{number << 24:012x}" for number, name in enumerate(("lookup", "report"), 1)}
MOST_ATTEMPTS = 3
DELETE_SHARE = 0.05
AUTHOR = "scale run"


class Editor:
    """Draws edits. Revisions are given by whoever decides."""

    def __init__(self, zones: list[str], seed: int):
        self._zones, self._random = zones, random.Random(f"{seed}/editor")
        self._number = 0
        self.log = f"scale-{seed}"

    def initial(self) -> StoredState:
        """What all voters hold at the start: each key once."""
        keys = [f"{GLOBAL_KEYS}{number}" for number in range(GLOBAL_COUNT)]
        keys += [f"{zone_keys(zone)}{number}" for zone in self._zones for number in range(ZONE_COUNT)]
        values = {key: self._value() for key in keys} | {key: _rule(name, 1) for name, key in RULES.items()}
        entries = {key: Entry(key, value, index + 1) for index, (key, value) in enumerate(values.items())}
        return StoredState(log=self.log, revision=len(entries), scope=("",), entries=entries)

    def draw(self, revision: int) -> Change:
        """The next edit, as the change of that revision."""
        self._number += 1
        key, value = self._key_and_value()
        return Change(revision, (Entry(key, value, revision),), f"edit-{self._number}", AUTHOR, "trial")

    def _key_and_value(self) -> tuple[str, bytes | None]:
        drawn = self._random.random()
        if drawn < RULE_SHARE:
            name = self._random.choice(list(RULES))
            return RULES[name], _rule(name, self._random.randint(1, MOST_ATTEMPTS))
        if drawn < RULE_SHARE + GLOBAL_SHARE:
            key = f"{GLOBAL_KEYS}{self._random.randrange(GLOBAL_COUNT)}"
        else:
            key = f"{zone_keys(self._random.choice(self._zones))}{self._random.randrange(ZONE_COUNT)}"
        return key, None if self._random.random() < DELETE_SHARE else self._value()

    def _value(self) -> bytes:
        return self._random.randbytes(VALUE_BYTES // 2).hex().encode()


def spacing(rate: float) -> float:
    """Seconds between two edits at that multiple of the target's pace; endless at none."""
    return DAY_SECONDS / (CHANGES_A_DAY * rate) if rate else float("inf")


def _rule(name: str, attempts: int) -> bytes:
    """A route of the timings, for requests of that class."""
    return encode_value({"class": name, "attempts": attempts})

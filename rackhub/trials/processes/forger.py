"""Taps for the switch: one member's records rewritten into well-formed nonsense, and a keeper killed as it answers.

Both read the packets as the program does: a stranger's reading would only find damage, which `lanes` makes already.
"""

import random
from collections import Counter
from collections.abc import Callable, Sequence

import msgspec

from rackhub.fleet.link import frames as f
from rackhub.fleet.overload import records
from rackhub.fleet.ports import DATAGRAM_LIMIT_BYTES
from rackhub.fleet.register.acceptor_shell import RULES_REPLY_KIND
from rackhub.fleet.register.messages import Accepted, decode

LIES = ("everything", "nothing", "lends_all")
WAYS = ("disordered", *LIES)


class Forger:
    """As a tap: every record of load and of probes of `whom` that leaves it says something else, well-formed and with a
    right checksum. One number of a record always says the same, whoever it goes to."""

    def __init__(self, whom: str, engines: Sequence[str], seed: int, ways: Sequence[str] = WAYS):
        self.whom, self._engines, self._seed = whom, [records.code(name) for name in engines], seed
        self._ways = ways
        self.forged: Counter[str] = Counter()

    def __call__(self, source: str, to: str, packet: bytes) -> bytes | None:
        if source != self.whom:
            return packet
        try:
            told = f.decode_datagram(packet)
            frames = [msgspec.Raw(self._frame(raw)) for raw in told.frames]
        except f.FrameError:
            return packet
        made = f.encode_datagram(msgspec.structs.replace(told, frames=frames))
        return made if len(made) < DATAGRAM_LIMIT_BYTES else None  # lost rather than true

    def _frame(self, raw: msgspec.Raw) -> bytes:
        note = f.decode_frame(raw)
        if not isinstance(note, f.RecordUpdate) or note.owner != self.whom:
            return bytes(raw)
        chance = random.Random(f"{self._seed}/{note.kind}/{note.number}")
        if note.kind == records.LOAD_KIND:
            way = chance.choice(self._ways)
            body = msgspec.msgpack.encode(load(way))
        elif note.kind.startswith(records.HEALTH_KIND):
            way, body = (
                "all_engines_dead",
                records.pack_health(
                    [records.HealthReport(code, 0, 2, 1, 1 + chance.randrange(256)) for code in self._engines]
                ),
            )
        else:
            return bytes(raw)
        self.forged[way] += 1
        return f.encode(msgspec.structs.replace(note, body=body))


def load(way: str) -> records.Load:
    """disordered: figures that no sound gateway tells. The others could be told, and are lies."""
    most, part = records.MAX_VALUE, records.FRACTION_ONE
    if way == "disordered":
        return records.Load(thread_loan=records.Loan(minimum_offered=part, maximum_offered=0))
    if way == "nothing":
        return records.Load(capacity_factor=0)
    lent = records.Loan(part, part, 0, 0) if way == "lends_all" else records.Loan(0, 0, part, part)
    cells = tuple(records.Cell(code, most, most) for code in range(8))
    return records.Load(
        cells,
        most,
        (records.Work(1, most, most),),
        most,
        most,
        most,
        most,
        most,
        most,
        most,
        lent,
        lent,
        (records.Trial(1, 1, 0),),
        most,
        most,
    )


class AtAnswer:
    """As a tap: when a keeper's word that it has accepted passes, `kill` is called and the word is gone: what it has
    accepted is on its disk, and nobody was told. `most` times in all."""

    def __init__(self, whom: str, kill: Callable[[], None], most: int):
        self.whom, self._kill, self.left, self.killed = whom, kill, most, 0

    def __call__(self, source: str, to: str, packet: bytes) -> bytes | None:
        if source != self.whom or not self.left or not accepted(packet):
            return packet
        self.left -= 1
        self.killed += 1
        self._kill()
        return None


def accepted(packet: bytes) -> bool:
    """Whether it carries a keeper's `Accepted`."""
    try:
        for raw in f.decode_datagram(packet).frames:
            page = f.decode_frame(raw)
            if (
                isinstance(page, f.Page)
                and page.kind == RULES_REPLY_KIND
                and page.count == 1
                and isinstance(decode(page.body), Accepted)
            ):
                return True
    except (f.FrameError, msgspec.MsgspecError):
        pass
    return False

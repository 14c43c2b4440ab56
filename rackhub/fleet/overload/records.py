"""What a gateway tells the others of its load: one small record of the board, of bounded cells.

Rates are thousandths in a second, threads thousandths, parts of one 65,536ths, times milliseconds. A class and tenant
stand as the CRC-32 of their names: what is told must fit, and both sides know the names from their settings.
"""

import zlib
from typing import Annotated

import msgspec

from rackhub.fleet.ports import RECORD

LOAD, PROBES = "load", "probes"  # kinds on the board; `PROBES` with the number of its page behind it
CELLS, CLASSES, TRIALS = 32, 12, 12  # most of each in one record; cells past these are summed
PART = 65_536  # one, as a part is told
MOST = 2**40  # no figure of a sound gateway is larger

Figure = Annotated[int, msgspec.Meta(ge=0, le=MOST)]
Part = Annotated[int, msgspec.Meta(ge=0, le=PART)]


def code(*names: str) -> int:
    """The same at every gateway and in every process: no seed."""
    return zlib.crc32("\0".join(names).encode())


class Cell(msgspec.Struct, frozen=True, array_like=True):
    """One class and tenant at one gateway."""

    code: Figure
    requested: Figure  # requests in 1,000 s, each once however often it came: see `measure`
    admitted: Figure  # what passed the level


class Work(msgspec.Struct, frozen=True, array_like=True):
    """What requests of one class take: thousandths of attempts ended lately, and thread-milliseconds they held."""

    code: Figure
    completed: Figure
    thread_time: Figure


class Loan(msgspec.Struct, frozen=True, array_like=True):
    """What a gateway leaves of its even slice, and what it wants past it: the least and the most of the last while,
    as parts of the whole. See `share`."""

    minimum_offered: Part = 0
    maximum_offered: Part = 0
    minimum_wanted: Part = 0
    maximum_wanted: Part = 0


class Trial(msgspec.Struct, frozen=True, array_like=True):
    """An engine that was out, as the gateway that tries it out has it. `state`: see `trials`."""

    engine: Figure
    state: Figure
    age: Figure


class Load(msgspec.Struct, frozen=True, array_like=True):
    """The record. What a newer version adds comes at the end, and an older one passes over it."""

    cells: Annotated[tuple[Cell, ...], msgspec.Meta(max_length=CELLS)] = ()
    rest: Figure = 0  # asked in cells that are not listed, as `Cell.asked`
    work: Annotated[tuple[Work, ...], msgspec.Meta(max_length=CLASSES)] = ()
    threads_in_use: Figure = 0  # threads held now, thousandths
    served: Figure = 0
    rejected: Figure = 0
    retry_work: Figure = 0  # threads' work refused that was told to come back and may not have yet, thousandths
    retries: Figure = 0  # attempts past the first, spent
    retries_wanted: Figure = 0  # and wished for, spent or not
    capacity_factor: Figure = PART  # what pressure makes of the told threads, as this gateway sees it
    share: Loan = Loan()
    retry_share: Loan = Loan()
    trials: Annotated[tuple[Trial, ...], msgspec.Meta(max_length=TRIALS)] = ()
    counted: Figure = 0  # whom this gateway counts: see `who.Who.digest`
    version: Figure = 0  # of the rule book's part that it sheds by


class HealthReport(msgspec.Struct, frozen=True, array_like=True):
    """One engine as a prober has it: milliseconds ago, how the probe ended and after how many microseconds, and the
    word of its module on it (0: none, else 1 more than the word's byte)."""

    engine: Figure
    age: Figure
    reason: Annotated[int, msgspec.Meta(ge=0, lt=3)]
    elapsed: Figure
    module_report: Annotated[int, msgspec.Meta(ge=0, le=256)] = 0


REASONS = ("GOOD", "LATE", "NOCONN")
_load, _seen = msgspec.msgpack.Decoder(Load), msgspec.msgpack.Decoder(tuple[HealthReport, ...])


def bounded(value: float) -> int:
    return int(min(max(value, 0), MOST))


def pack(load: Load) -> bytes:
    """As it is posted: at most `RECORD` bytes, whatever the names and figures are. The least asked cells give way to
    the sum first; the level needs the large ones."""
    cells = sorted(load.cells, key=lambda cell: (-cell.requested, cell.code))
    room = CELLS
    while True:
        left = sum(cell.requested for cell in cells[room:])
        body = msgspec.msgpack.encode(
            msgspec.structs.replace(
                load,
                cells=tuple(cells[:room]),
                rest=bounded(load.rest + left),
                work=load.work[:CLASSES],
                trials=load.trials[:TRIALS],
            )
        )
        if len(body) <= RECORD:
            return body
        room = min(room, len(cells)) - 2


def unpack(body: bytes) -> Load | None:
    """None: it can't be read, or no sound gateway tells such figures. A member that tells nonsense counts like one that
    tells nothing."""
    try:
        load = _load.decode(body)
    except msgspec.MsgspecError:
        return None
    ordered = all(
        lent.minimum_offered <= lent.maximum_offered and lent.minimum_wanted <= lent.maximum_wanted
        for lent in (load.share, load.retry_share)
    )
    return load if ordered else None


def pack_seen(seen: list[HealthReport]) -> bytes:
    return msgspec.msgpack.encode(seen)


def unpack_seen(body: bytes) -> tuple[HealthReport, ...] | None:
    try:
        return _seen.decode(body)
    except msgspec.MsgspecError:
        return None

"""The gossip records of the load and health checks of a gateway.

Rates are in thousandths per second, threads in thousandths, fractions in 65,536ths, times in milliseconds. A class and
tenant are encoded as the CRC-32 of their names, to bound the size; all gateways know the names from their settings.
"""

import zlib
from typing import Annotated

import msgspec

from rackhub.fleet.ports import MAX_RECORD_BYTES

LOAD_KIND = "load"  # kind on the board
HEALTH_KIND = "probes"  # kind on the board, with the page number appended
CELLS = 32  # maximum in one record; further cells are summed
CLASSES = 12
TRIALS = 12
FRACTION_ONE = 65_536  # the encoding of the fraction 1
MAX_VALUE = 2**40  # maximum of every number

Figure = Annotated[int, msgspec.Meta(ge=0, le=MAX_VALUE)]
Part = Annotated[int, msgspec.Meta(ge=0, le=FRACTION_ONE)]


def code(*names: str) -> int:
    """Return the CRC-32 of the names, the same at every gateway."""
    return zlib.crc32("\0".join(names).encode())


class Cell(msgspec.Struct, frozen=True, array_like=True):
    """One class and tenant at one gateway."""

    code: Figure
    requested: Figure  # requests in 1,000 s, without repeats: see `load_measurement`
    admitted: Figure  # passed the shedding threshold


class Work(msgspec.Struct, frozen=True, array_like=True):
    """The cost of one class: recently completed attempts in thousandths, and their thread-milliseconds."""

    code: Figure
    completed: Figure
    thread_time: Figure


class Loan(msgspec.Struct, frozen=True, array_like=True):
    """What a gateway offers of its equal share and wants beyond it, as fractions of the whole. See `quota`."""

    minimum_offered: Part = 0
    maximum_offered: Part = 0
    minimum_wanted: Part = 0
    maximum_wanted: Part = 0


class Trial(msgspec.Struct, frozen=True, array_like=True):
    """The recovery trial of an engine at the gateway that runs it; for `state` see `recovery_trials`."""

    engine: Figure
    state: Figure
    age: Figure


class Load(msgspec.Struct, frozen=True, array_like=True):
    """The load record. Newer versions append fields, which older ones ignore."""

    cells: Annotated[tuple[Cell, ...], msgspec.Meta(max_length=CELLS)] = ()
    rest: Figure = 0  # requests in cells that are not listed, as `Cell.requested`
    work: Annotated[tuple[Work, ...], msgspec.Meta(max_length=CLASSES)] = ()
    threads_in_use: Figure = 0  # in thousandths
    served: Figure = 0
    rejected: Figure = 0
    retry_work: Figure = 0  # rejected work that may not have returned yet, thousandths of thread-seconds
    retries: Figure = 0  # attempts past the first
    retries_wanted: Figure = 0  # sent or not
    capacity_factor: Figure = FRACTION_ONE  # usable fraction of the configured threads, as this gateway measures it
    thread_loan: Loan = Loan()
    retry_loan: Loan = Loan()
    trials: Annotated[tuple[Trial, ...], msgspec.Meta(max_length=TRIALS)] = ()
    counted: Figure = 0  # see `participants.Participants.digest`
    version: Figure = 0  # of the shedding policy in force


class HealthReport(msgspec.Struct, frozen=True, array_like=True):
    """The result of a health check.

    `age` is in milliseconds, `elapsed` in microseconds, `reason` an index of `REASONS`; `module_report` is 0 for none,
    else one more than the byte that the module of the prober reported.
    """

    engine: Figure
    age: Figure
    reason: Annotated[int, msgspec.Meta(ge=0, lt=3)]
    elapsed: Figure
    module_report: Annotated[int, msgspec.Meta(ge=0, le=256)] = 0


REASONS = ("GOOD", "LATE", "NOCONN")
_load_decoder = msgspec.msgpack.Decoder(Load)
_health_decoder = msgspec.msgpack.Decoder(tuple[HealthReport, ...])


def bounded(value: float) -> int:
    """Return `value` as an integer from 0 to `MAX_VALUE`."""
    return int(min(max(value, 0), MAX_VALUE))


def pack(load: Load) -> bytes:
    """Encode a load record in at most `MAX_RECORD_BYTES` bytes.

    The cells with the fewest requests are summed first, as the shedding threshold needs the large ones.
    """
    cells = sorted(load.cells, key=lambda cell: (-cell.requested, cell.code))
    listed = CELLS
    while True:
        left = sum(cell.requested for cell in cells[listed:])
        body = msgspec.msgpack.encode(
            msgspec.structs.replace(
                load,
                cells=tuple(cells[:listed]),
                rest=bounded(load.rest + left),
                work=load.work[:CLASSES],
                trials=load.trials[:TRIALS],
            )
        )
        if len(body) <= MAX_RECORD_BYTES:
            return body
        listed = min(listed, len(cells)) - 2


def unpack(body: bytes) -> Load | None:
    """Decode a load record; return None if it is invalid, so that its sender counts as silent."""
    try:
        load = _load_decoder.decode(body)
    except msgspec.MsgspecError:
        return None
    ordered = all(
        loan.minimum_offered <= loan.maximum_offered and loan.minimum_wanted <= loan.maximum_wanted
        for loan in (load.thread_loan, load.retry_loan)
    )
    return load if ordered else None


def pack_health(seen: list[HealthReport]) -> bytes:
    """Encode one page of health check results."""
    return msgspec.msgpack.encode(seen)


def unpack_health(body: bytes) -> tuple[HealthReport, ...] | None:
    """Decode one page of health check results; return None if it is invalid."""
    try:
        return _health_decoder.decode(body)
    except msgspec.MsgspecError:
        return None

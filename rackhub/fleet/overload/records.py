"""The gossip records of the load and health checks of a gateway.

Rates are in thousandths per second, threads in thousandths, fractions in 65,536ths, times in milliseconds. A class or a
tenant is encoded as the CRC-32 of its name, to bound the size; all gateways know the names from their settings.
"""

import zlib
from typing import Annotated

import msgspec

from rackhub.fleet.ports import MAX_RECORD_BYTES

LOAD_KIND = "load"  # kind of load records
HEALTH_KIND = "probes"  # kind of health check records, with the page number appended
CELLS = 32  # maximum number of cells in one record; further cells are summed
CLASSES = 12  # maximum number of classes in one record
TRIALS = 12  # maximum number of recovery trials in one record
FRACTION_ONE = 65_536  # encoding of the fraction 1
MAX_VALUE = 2**40  # maximum of every encoded number

Number = Annotated[int, msgspec.Meta(ge=0, le=MAX_VALUE)]
Fraction = Annotated[int, msgspec.Meta(ge=0, le=FRACTION_ONE)]


def code(*names: str) -> int:
    """Return the CRC-32 of the names, the same at every gateway."""
    return zlib.crc32("\0".join(names).encode())


class Cell(msgspec.Struct, frozen=True, array_like=True):
    """One class and tenant at one gateway."""

    code: Number
    requested: Number  # rate of first attempts, without rejected requests that returned: see `load_measurement`
    admitted: Number  # rate of requests that passed the shedding threshold


class Work(msgspec.Struct, frozen=True, array_like=True):
    """The cost of one class: recently completed attempts, in thousandths, and their thread-milliseconds."""

    code: Number
    completed: Number
    thread_time: Number


class Loan(msgspec.Struct, frozen=True, array_like=True):
    """The fractions of the whole resource that a gateway offers of its equal share and wants beyond it. See `quota`."""

    minimum_offered: Fraction = 0
    maximum_offered: Fraction = 0
    minimum_wanted: Fraction = 0
    maximum_wanted: Fraction = 0


class Trial(msgspec.Struct, frozen=True, array_like=True):
    """The recovery trial of an engine at the gateway that runs it. `recovery_trials` has the values of `state`."""

    engine: Number
    state: Number
    age: Number


class Load(msgspec.Struct, frozen=True, array_like=True):
    """The load record. Newer versions append fields, which older ones ignore."""

    cells: Annotated[tuple[Cell, ...], msgspec.Meta(max_length=CELLS)] = ()
    unlisted: Number = 0  # `Cell.requested`, summed over the cells that are not listed
    work: Annotated[tuple[Work, ...], msgspec.Meta(max_length=CLASSES)] = ()
    threads_in_use: Number = 0  # threads that the attempts of this gateway use
    served: Number = 0
    rejected: Number = 0
    retry_work: Number = 0  # rejected work that may not have returned yet, in thread-milliseconds
    retries: Number = 0  # attempts after the first
    retries_wanted: Number = 0  # retries, sent or not for lack of budget
    capacity_factor: Number = FRACTION_ONE  # usable fraction of the configured threads, as this gateway measures it
    thread_loan: Loan = Loan()
    retry_loan: Loan = Loan()
    trials: Annotated[tuple[Trial, ...], msgspec.Meta(max_length=TRIALS)] = ()
    participants: Number = 0  # `participants.Participants.digest`
    policy_version: Number = 0  # version of the active shedding policy


class HealthReport(msgspec.Struct, frozen=True, array_like=True):
    """The result of a health check.

    `age` is in milliseconds, `elapsed` in microseconds, `reason` is an index of `REASONS`. `module_report` is one more
    than the byte that the policy module of the checking member reported, 0 without a report.
    """

    engine: Number
    age: Number
    reason: Annotated[int, msgspec.Meta(ge=0, lt=3)]
    elapsed: Number
    module_report: Annotated[int, msgspec.Meta(ge=0, le=256)] = 0


REASONS = ("GOOD", "LATE", "NOCONN")
_load_decoder = msgspec.msgpack.Decoder(Load)
_health_decoder = msgspec.msgpack.Decoder(tuple[HealthReport, ...])


def bounded(value: float) -> int:
    """Return `value` as an integer from 0 to `MAX_VALUE`."""
    return int(min(max(value, 0), MAX_VALUE))


def pack(load: Load) -> bytes:
    """Encode a load record in at most `MAX_RECORD_BYTES` bytes.

    If it has too many cells, those with the fewest requests are summed: the shedding threshold needs the large ones.
    """
    cells = sorted(load.cells, key=lambda cell: (-cell.requested, cell.code))
    listed = CELLS
    while True:
        unlisted = sum(cell.requested for cell in cells[listed:])
        body = msgspec.msgpack.encode(
            msgspec.structs.replace(
                load,
                cells=tuple(cells[:listed]),
                unlisted=bounded(load.unlisted + unlisted),
                work=load.work[:CLASSES],
                trials=load.trials[:TRIALS],
            )
        )
        if len(body) <= MAX_RECORD_BYTES:
            return body
        listed = min(listed, len(cells)) - 2


def unpack(body: bytes) -> Load | None:
    """Decode a load record; return None if it is invalid, so that its sender counts as unresponsive."""
    try:
        load = _load_decoder.decode(body)
    except msgspec.MsgspecError:
        return None
    ordered = all(
        loan.minimum_offered <= loan.maximum_offered and loan.minimum_wanted <= loan.maximum_wanted
        for loan in (load.thread_loan, load.retry_loan)
    )
    return load if ordered else None


def pack_health(reports: list[HealthReport]) -> bytes:
    """Encode one page of health check results."""
    return msgspec.msgpack.encode(reports)


def unpack_health(body: bytes) -> tuple[HealthReport, ...] | None:
    """Decode one page of health check results; return None if it is invalid."""
    try:
        return _health_decoder.decode(body)
    except msgspec.MsgspecError:
        return None

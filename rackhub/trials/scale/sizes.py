"""What a run would take of the machine, and the refusal of one that would take too much."""

import msgspec

from rackhub.trials.scale.settings import VOTERS, RunSettings

MEGABYTE = 1 << 20
MOST_BYTES = 12 << 30
MOST_PROCESSES = 200
PARENT = 1
PROCESS_BYTES = 45 * MEGABYTE  # of one Python process with the program loaded, as measured, rounded up
SERVE_BYTES = 100 * MEGABYTE  # of a real coordinator
COORDINATOR_BYTES = 300 * 1024  # of a hollow one without its members' table
MEMBER_PAIR_BYTES = 3 * 1024  # for each other member of the zone that one holds
VIRTUAL_COORDINATOR_BYTES = 200 * 1024
SERVE_SIDES = 2  # real coordinators are run with distribution and, beside them, without
SOCKETS_A_PROCESS = 18_000  # of hollow coordinators: two each


class Need(msgspec.Struct, frozen=True):
    """An upper estimate of memory and the exact number of processes."""

    memory: int
    processes: int


class TooLarge(Exception):
    """The run would pass the machine's bounds."""


def need(settings: RunSettings) -> Need:
    if settings.virtual:
        return Need(PROCESS_BYTES + settings.coordinators * VIRTUAL_COORDINATOR_BYTES, PARENT)
    processes = PARENT + VOTERS + settings.relays + settings.processes
    a_zone = -(-settings.coordinators // settings.zones)
    pairs = settings.coordinators * a_zone if settings.members else 0
    memory = processes * PROCESS_BYTES + settings.coordinators * COORDINATOR_BYTES + pairs * MEMBER_PAIR_BYTES
    if settings.real:
        memory += SERVE_SIDES * (settings.real * SERVE_BYTES + PROCESS_BYTES)
        processes += SERVE_SIDES * (settings.real + 1)  # with one process of engines and clients
    return Need(memory, processes)


def refuse_too_large(settings: RunSettings) -> Need:
    """Raises `TooLarge`, naming the bound."""
    needed = need(settings)
    if needed.memory > MOST_BYTES:
        raise TooLarge(
            f"{settings.coordinators} coordinators would take {needed.memory / MEGABYTE:.0f} MB, "
            f"more than {MOST_BYTES // MEGABYTE}"
        )
    if needed.processes > MOST_PROCESSES:
        raise TooLarge(f"{needed.processes} processes, more than {MOST_PROCESSES}")
    sockets = 2 * -(-settings.coordinators // settings.processes)
    if not settings.virtual and sockets > SOCKETS_A_PROCESS:
        raise TooLarge(f"{sockets} sockets in one process, more than {SOCKETS_A_PROCESS}: use more --processes")
    return needed

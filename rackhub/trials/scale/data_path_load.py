"""What one coordinator's share of the target's traffic takes: cores, processes, descriptors, memory."""

import math

import msgspec

from rackhub.limits import Limits
from rackhub.trials.scale import markdown
from rackhub.trials.scale.page_data import PageData, client_connections

MILLISECONDS, KILOBYTES_A_MEGABYTE, PERCENT = 1_000, 1_024, 100
HEADS = ("figure", "value", "unit", "worked out from")
STATEMENT, DECISION = "data_path.statement_cpu", "engines.request_cpu"
DESCRIPTORS, CONNECTION_MEMORY = "data_path.busy_connection_descriptors", "data_path.idle_connection_memory"
PROCESS_CPU = "data_path.idle_connection_cpu"
FIXED = "limit of the program"


class Line(msgspec.Struct, frozen=True):
    figure: str
    value: float
    unit: str
    source: str

    def cells(self) -> list[str]:
        return [self.figure, markdown.number(self.value), self.unit, self.source]


def decision_milliseconds(data: PageData, engines: float) -> float:
    """What so many engines in the list add to a statement's CPU."""
    return data.near(DECISION, engines) - data.slope(DECISION).values[0] if engines else 0.0


def statement_milliseconds(data: PageData, engines: float) -> float:
    """CPU of one statement with so many engines in the list."""
    return data.slope(STATEMENT).slope + decision_milliseconds(data, engines)


def cores(data: PageData, engines: float) -> float:
    return data.target.statements_a_coordinator * statement_milliseconds(data, engines) / MILLISECONDS


def statement_lines(data: PageData) -> list[Line]:
    target = data.target
    zone, whole = target.engines_a_zone, target["engines"]
    both = f"{STATEMENT}, {DECISION}"
    return [
        Line("statements, each coordinator", target.statements_a_coordinator, "a second", "target"),
        Line("CPU of a statement, few engines in the list", statement_milliseconds(data, 0), "ms", STATEMENT),
        Line("more with one zone's engines in the list", decision_milliseconds(data, zone), "ms", DECISION),
        Line("more with all engines in the list", decision_milliseconds(data, whole), "ms", DECISION),
        Line(
            "one process at a whole core, few engines",
            MILLISECONDS / statement_milliseconds(data, 0),
            "a second",
            STATEMENT,
        ),
        Line("cores, few engines in the list", cores(data, 0), "cores", STATEMENT),
        Line("cores, one zone's engines in the list", cores(data, zone), "cores", both),
        Line("cores, all engines in the list", cores(data, whole), "cores", both),
        Line(
            "processes by CPU, one zone's engines, a whole core each", math.ceil(cores(data, zone)), "processes", both
        ),
        Line(
            "CPU of one process without clients",
            data.slope(PROCESS_CPU).intercept * PERCENT / MILLISECONDS,
            "% of a core",
            PROCESS_CPU,
        ),
    ]


def connection_lines(data: PageData) -> list[Line]:
    limits, connections = Limits(), data.target.connections_a_coordinator
    descriptors = connections * data.slope(DESCRIPTORS).slope
    memory = connections * data.slope(CONNECTION_MEMORY).slope / KILOBYTES_A_MEGABYTE
    return [
        Line("client connections, each coordinator", connections, "connections", "target"),
        Line(
            f"processes by connections, {client_connections()} each",
            math.ceil(connections / client_connections()),
            "processes",
            FIXED,
        ),
        Line("descriptors of all its client connections", descriptors, "descriptors", DESCRIPTORS),
        Line(
            f"processes by descriptors, {limits.file_descriptors:,} each",
            math.ceil(descriptors / limits.file_descriptors),
            "processes",
            DESCRIPTORS,
        ),
        Line("memory of idle client connections", memory, "MB", CONNECTION_MEMORY),
    ]


def data_path_table(data: PageData) -> str:
    lines = [*statement_lines(data), *connection_lines(data)]
    return markdown.table(HEADS, [line.cells() for line in lines])

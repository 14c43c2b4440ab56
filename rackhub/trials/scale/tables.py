"""The tables of the capacity page, by the names of their markers."""

import math
from collections.abc import Callable
from functools import partial

from rackhub.fleet.distribution.limits import Limits as DistributionLimits
from rackhub.limits import Limits
from rackhub.trials.scale import markdown
from rackhub.trials.scale.failures import failures_table
from rackhub.trials.scale.markdown import number, table
from rackhub.trials.scale.page_data import PageData
from rackhub.trials.scale.ranking import ranking_table
from rackhub.trials.scale.roles import ROLES, role_table
from rackhub.trials.scale.run_files import NamedRun

Table = Callable[[PageData], str]
MILLISECONDS, KILOBYTES_A_MEGABYTE = 1_000, 1_024


def target_table(data: PageData) -> str:
    rows = [[each.name, number(each.value), each.unit, "target"] for each in data.target.figure]
    rows += [[each.name, number(each.value), each.unit, f"assumed: {each.reason}"] for each in data.target.assumption]
    return table(("figure", "value", "unit", "from"), rows)


def run_line(data: PageData) -> str:
    slopes = data.slopes
    return (
        f"Measured on {slopes.date} at {slopes.commit}, Python {slopes.python}, {slopes.cores} cores, "
        f"{slopes.seconds:.0f} s in all."
    )


def slopes_table(data: PageData) -> str:
    rows = [
        [
            each.name,
            each.unit,
            " ".join(number(size) for size in each.sizes),
            " ".join(number(value) for value in each.values),
            number(each.intercept),
            number(each.slope),
            markdown.percent(each.residual),
        ]
        for each in data.slopes.measurements
    ]
    heads = ("slope", "unit", "sizes", "values", "intercept", "a unit of size", "residual")
    return run_line(data) + "\n\n" + table(heads, rows)


def method_table(data: PageData) -> str:
    rows = [[each.name, each.size_unit, each.method] for each in data.slopes.measurements]
    return table(("slope", "by", "how"), rows)


def before_table(data: PageData) -> str:
    """One change by today's way."""
    names = [
        "rules.in_force",
        "rules.editor_messages",
        "rules.editor_bytes",
        "rules.voter_messages",
        "rules.voter_bytes",
        "rules.receiver_messages",
        "rules.receiver_bytes",
        "rules.total_messages",
        "rules.total_bytes",
    ]
    found = [data.slope(name) for name in names]
    heads = ["figure", "unit", *(number(size) for size in found[0].sizes)]
    rows = [
        [each.name.removeprefix("rules.").replace("_", " "), each.unit, *(number(value) for value in each.values)]
        for each in found
    ]
    return table(heads, rows)


def machines_table(data: PageData) -> str:
    target = data.target
    relays, voters = target.relays, target["voters"]
    per_zone, guests = target["relays_per_zone"], DistributionLimits().guests
    zone = target.coordinators_a_zone
    rows = [
        ["all is well", number(target["coordinators"]), number(relays), number(voters), number(zone / per_zone), "-"],
        ["one relay down", number(target["coordinators"]), number(relays - 1), number(voters), number(zone), "-"],
        [
            "both relays of a zone down",
            number(target["coordinators"]),
            number(relays - per_zone),
            number(voters),
            f"{number(zone / per_zone)} and guests",
            f"{number(zone)} guests, of {number(guests)} that one relay takes",
        ],
        [
            "a zone gone, with a voter in it",
            number(target["coordinators"] - zone),
            number(relays - per_zone),
            number(voters - 1),
            number(zone / per_zone),
            "-",
        ],
    ]
    heads = ("state", "coordinators", "relays", "voters (majority 3)", "watchers of a relay, most", "elsewhere")
    return table(heads, rows)


def data_path_table(data: PageData) -> str:
    target, limits = data.target, Limits()
    statements, connections = target.statements_a_coordinator, target.connections_a_coordinator
    statement_ms = data.slope("data_path.statement_cpu").slope
    extra_ms = data.at("engines.request_cpu", target.engines_a_zone) - data.at("engines.request_cpu", 0)
    whole_ms = data.at("engines.request_cpu", target["engines"]) - data.at("engines.request_cpu", 0)
    idle_kb = data.slope("data_path.idle_connection_memory").slope
    descriptors = data.slope("data_path.busy_connection_descriptors").slope
    by_connections = connections / limits.client_connections
    zone_cores = statements * (statement_ms + extra_ms) / MILLISECONDS
    rows = [
        ["statements a second, each coordinator", number(statements), "target"],
        ["client connections, each coordinator", number(connections), "target"],
        ["CPU of a statement, few engines", f"{number(statement_ms)} ms", "data_path.statement_cpu"],
        ["more with one zone's engines in the list", f"{number(extra_ms)} ms", "engines.request_cpu"],
        ["more with all engines in the list", f"{number(whole_ms)} ms", "engines.request_cpu"],
        [
            "statements a second in one process, few engines",
            number(MILLISECONDS / statement_ms),
            "data_path.statement_cpu",
        ],
        ["cores, few engines in the list", number(statements * statement_ms / MILLISECONDS), "data_path.statement_cpu"],
        ["cores, one zone's engines in the list", number(zone_cores), "both"],
        ["cores, all engines in the list", number(statements * (statement_ms + whole_ms) / MILLISECONDS), "both"],
        ["processes by CPU, one zone's engines, a core each", number(math.ceil(zone_cores)), "both"],
        [
            f"processes by connections, {limits.client_connections} each",
            number(math.ceil(by_connections)),
            "limit of the program",
        ],
        [
            "descriptors of all client connections",
            number(connections * descriptors),
            "data_path.busy_connection_descriptors",
        ],
        [
            f"processes by descriptors, {limits.sockets:,} each",
            number(math.ceil(connections * descriptors / limits.sockets)),
            "both",
        ],
        [
            "memory of idle client connections",
            f"{number(connections * idle_kb / KILOBYTES_A_MEGABYTE)} MB",
            "data_path.idle_connection_memory",
        ],
    ]
    return table(("figure", "value", "worked out from"), rows)


def run_cells(named: NamedRun) -> list[str]:
    run, verdict, cost = named.run, named.run.verdict, named.run.cost
    faults = (verdict.lost, verdict.revisions_back, verdict.out_of_scope, verdict.content_differs)
    spread = verdict.everywhere
    outage = verdict.after_outage
    verdict_text = {True: "passed", False: "FAILED", None: "not told"}[run.passed]
    return [
        named.name,
        run.case,
        run.time + ("" if run.keeps_up is not False else ", did not keep up"),
        number(run.coordinators),
        number(run.relays),
        number(run.real),
        number(run.rate),
        number(verdict.changes),
        " / ".join(number(fault) for fault in faults),
        f"{number(spread.p50)} / {number(spread.p99)} / {number(spread.worst)}" if spread.count else "-",
        number(outage.worst) if outage.count else "-",
        number(cost.bytes_a_second),
        number(cost.cpu_percent),
        number(cost.memory_megabytes),
        verdict_text,
    ]


def runs_table(data: PageData) -> str:
    if not data.runs:
        return "No scale run is kept yet."
    heads = (
        "run",
        "case",
        "time",
        "coordinators",
        "relays",
        "real",
        "pace",
        "changes",
        "lost / back / out of scope / differing",
        "everywhere, s: p50 / p99 / worst",
        "after an outage, s",
        "bytes a second",
        "CPU %",
        "MB",
        "verdict",
    )
    return table(heads, [run_cells(named) for named in data.runs])


def role(name: str, data: PageData) -> str:
    return role_table(ROLES[name](data))


TABLES: dict[str, Table] = {
    "target": target_table,
    "ranking": ranking_table,
    "before": before_table,
    **{f"role-{name}": partial(role, name) for name in ROLES},
    "failures": failures_table,
    "machines": machines_table,
    "data-path": data_path_table,
    "runs": runs_table,
    "slopes": slopes_table,
    "methods": method_table,
}

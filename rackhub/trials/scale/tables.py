"""The tables of the capacity page, by the names of their markers."""

from collections.abc import Callable
from functools import partial

from rackhub.fleet.distribution.limits import Limits as DistributionLimits
from rackhub.trials.scale import markdown
from rackhub.trials.scale.after_relays import after_table
from rackhub.trials.scale.data_path_load import data_path_table
from rackhub.trials.scale.failures import failures_table
from rackhub.trials.scale.fit import growth_exponent
from rackhub.trials.scale.markdown import number, table
from rackhub.trials.scale.page_data import PageData
from rackhub.trials.scale.ranking import contenders_table, ranking_table
from rackhub.trials.scale.role_row import role_table
from rackhub.trials.scale.roles import ROLES
from rackhub.trials.scale.run_files import NamedRun

Table = Callable[[PageData], str]


def target_table(data: PageData) -> str:
    rows = [[each.name, number(each.value), each.unit, "target"] for each in data.target.figure]
    rows += [[each.name, number(each.value), each.unit, f"assumed: {each.reason}"] for each in data.target.assumption]
    return table(("figure", "value", "unit", "from"), rows)


def measured_table(data: PageData) -> str:
    """When and how each group was measured."""
    rows = [
        [run.group, run.date, run.commit, run.python, number(run.cores), number(run.seconds), number(run.load)]
        for run in data.slopes.runs
    ]
    return table(("group", "date", "commit", "Python", "cores", "seconds", "load at its begin"), rows)


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
            number(growth_exponent(each.sizes, each.values)),
        ]
        for each in data.slopes.measurements
    ]
    heads = ("slope", "unit", "sizes", "values", "intercept", "a unit of size", "residual", "grows by power")
    return table(heads, rows)


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
    per_zone, guests = target["relays_per_zone"], DistributionLimits().max_foreign_watchers
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
    "contenders": contenders_table,
    "before": before_table,
    "after": after_table,
    **{f"role-{name}": partial(role, name) for name in ROLES},
    "failures": failures_table,
    "machines": machines_table,
    "data-path": data_path_table,
    "runs": runs_table,
    "measured": measured_table,
    "slopes": slopes_table,
    "methods": method_table,
}

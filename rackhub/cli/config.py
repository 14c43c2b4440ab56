"""rackhub config: check, explain and compare operator files; print the JSON Schema of the file.

Usage:
  rackhub config check FILE [--config SITE] [--json]
  rackhub config explain FILE --class CLASS [--tenant TENANT] [--kind KIND] [--estimate MS] [--config SITE] [--json]
  rackhub config diff OLD NEW [--config SITE] [--json]
  rackhub config schema
  rackhub config (-h | --help)

Commands:
  check    List each fault of the file by its key, checked against the site's settings, and warn of unwise values.
  explain  Show which route a request matches and why, the source of each term, and the worst-case timeline.
  diff     Show which requests are treated differently by NEW than by OLD, and how.
  schema   Print the JSON Schema of the file, for editors.

Options:
  --config SITE    The platform's configuration file; default: the file that BALANCER_CONFIG names.
  --class CLASS    The request's class.
  --tenant TENANT  The request's tenant; default: the first of the site.
  --kind KIND      The kind of engine; default: any kind that no route names [default: ].
  --estimate MS    The request's estimated duration in milliseconds [default: 0].
  --json           Print one JSON document instead of text.

Exit status: 0 success; 1 the file has faults (check) or the files differ (diff); 2 bad usage, or a file that is
unreadable or, except for check, has faults.
"""

import os
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

import msgspec

from rackhub import config as configuration
from rackhub import interface as t
from rackhub.cli.words import parse, parse_number, print_json, report_error
from rackhub.operatorfile import Operator
from rackhub.timings import check as checks
from rackhub.timings import explain as explanations
from rackhub.timings.routes import Fault, Route, read_routes


def run(arguments: Sequence[str]) -> int:
    options = parse(__doc__ or "", arguments)
    return next(call for name, call in HANDLERS.items() if options[name])(options)


def _settings(options: dict[str, Any]) -> t.Settings:
    try:
        return configuration.load(configuration.config_path(os.environ, options["--config"])).settings
    except configuration.ConfigError as error:
        raise report_error(f"bad configuration: {error}") from None


def _routes(path: str, settings: t.Settings) -> tuple[list[Route], list[Fault], list[Fault]]:
    """Return the routes of a file, their faults and warnings. A fault outside the timings ends the command."""
    try:
        operator = configuration.load_operator(Path(path))
        configuration.check_operator(msgspec.structs.replace(operator, timings=None), settings)
    except configuration.ConfigError as error:
        raise report_error(f"{path}: {error}") from None
    routes, faults = read_routes(operator.timings if operator.timings is not None else {})
    checked = checks.check(routes, settings)
    return routes, faults + checked.faults, checked.warnings


def _valid_routes(path: str, settings: t.Settings) -> list[Route]:
    routes, faults, _ = _routes(path, settings)
    if faults:
        raise report_error(f"{path}: {faults[0]}" + (f"; and {len(faults) - 1} more" if len(faults) > 1 else ""))
    return routes


def check(options: dict[str, Any]) -> int:
    routes, faults, warnings = _routes(options["FILE"], _settings(options))
    if options["--json"]:
        print_json({"routes": len(routes), "faults": faults, "warnings": warnings})
    else:
        for fault in faults:
            print(f"rejected: {fault}")
        for warning in warnings:
            print(f"unwise: {warning}")
        print(f"{len(routes)} routes, {len(faults)} faults, {len(warnings)} warnings")
    return 1 if faults else 0


def explain(options: dict[str, Any]) -> int:
    settings = _settings(options)
    routes = _valid_routes(options["FILE"], settings)
    tenants = [tenant.name for tenant in settings.tenants] or [""]
    tenant = options["--tenant"] or tenants[0]
    for name, value, allowed in (
        ("--class", options["--class"], [cls.name for cls in settings.classes]),
        ("--tenant", tenant, tenants),
        ("--kind", options["--kind"], ["", *settings.kind_cores]),
    ):
        if value not in allowed:
            raise report_error(f"{name}: the site has no {value!r}; it has {', '.join(filter(None, allowed))}")
    explanation = explanations.explain(
        routes,
        settings,
        options["--class"],
        tenant,
        options["--kind"],
        parse_number(options, "--estimate", 0, 1e9, float),
    )
    if options["--json"]:
        print_json(explanation)
        return 0
    for match in explanation.route_matches:
        print(
            f"timings.route[{match.route}]: {'fits' if match.fits else 'does not fit'}"
            + (f": {match.reason}" if match.reason else "")
        )
    print()
    for term in explanation.terms:
        value = "-" if term.value is None else msgspec.json.encode(term.value).decode().strip('"')
        print(f"{term.name:<20} {value:<52} {term.source}")
    print()
    for event in explanation.timeline:
        print(f"{event.at_ms:>10.0f} ms  {event.what}")
    return 0


def diff(options: dict[str, Any]) -> int:
    settings = _settings(options)
    differences = explanations.diff(
        _valid_routes(options["OLD"], settings), _valid_routes(options["NEW"], settings), settings
    )
    if options["--json"]:
        print_json(differences)
    else:
        for row in differences:
            low, high = row.estimate_ms
            upper_bound = f"to before {high:g}" if high is not None else "and up"
            print(
                f"class {row.cls}, tenant {row.tenant or '-'}, kind {row.engine_kind or 'any other'}, estimates "
                f"{low:g} {upper_bound} ms:"
            )
            for name, (old, new) in row.changes.items():
                print(f"  {name}: {msgspec.json.encode(old).decode()} -> {msgspec.json.encode(new).decode()}")
        print(f"{len(differences)} kinds of requests are treated differently")
    return 1 if differences else 0


def operator_file_schema() -> dict[str, Any]:
    """Return the JSON Schema of the operator file, made from the types that decode it.

    `Operator` holds the tables of optional components undecoded; the types of those components replace them here.
    """
    from rackhub.fleet.settings import FleetSettings
    from rackhub.gather.rules import GatherFile
    from rackhub.state.settings import StoreSettings
    from rackhub.timings.routes import TimingsFile

    section_types: dict[str, Any] = {
        "store": StoreSettings | None,
        "timings": TimingsFile | None,
        "fleet": FleetSettings | None,
        "gather": GatherFile | None,
    }
    file_type = msgspec.defstruct(
        "OperatorFile",
        [(field.name, section_types.get(field.name, field.type), None) for field in msgspec.structs.fields(Operator)],
        forbid_unknown_fields=True,
        kw_only=True,
    )
    return msgspec.json.schema(file_type)


def schema(options: dict[str, Any]) -> int:
    print(msgspec.json.format(msgspec.json.encode(operator_file_schema())).decode())
    return 0


HANDLERS: dict[str, Callable[[dict[str, Any]], int]] = {
    "check": check,
    "explain": explain,
    "diff": diff,
    "schema": schema,
}

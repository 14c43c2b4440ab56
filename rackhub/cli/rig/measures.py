"""rackhub rig undos, probes: measure undo times and health-check rates on real processes."""

import sys
from typing import Any

from rackhub.cli.words import parse_number, print_json, report_error


def undos(options: dict[str, Any]) -> int:
    from twisted.internet import reactor

    from rackhub.trials.processes import undos as measure
    from rackhub.trials.processes.torture import there

    if not there("rules"):
        raise report_error("rig undos: this program has no versioned rules")
    report = measure.run(
        parse_number(options, "--processes", 3, 16),
        parse_number(options, "--count", 1, 1_000),
        parse_number(options, "--seed", 0, 2**31),
        parse_number(options, "--load", 0, 4, float),
        reactor,
    )
    if options["--json"]:
        print_json(report)
    else:
        print(
            f"{report.undos} undos at {report.processes} gateways: time until the last gateway applied it p50 "
            f"{report.p50_ms:.0f} ms, p99 {report.p99_ms:.0f} ms, maximum {report.most_ms:.0f} ms"
        )
        print(
            f"{report.not_held} not applied by all in time, {report.refused} rejected; faults {report.faults or 'none'}"
        )
    return 1 if report.faults or report.not_held or not report.undos else 0


def probes(options: dict[str, Any]) -> int:
    from twisted.internet import reactor

    from rackhub.trials.processes import probes as measure

    ways = [way for way in options["--ways"].split(",") if way != "one"]
    for way in ways:
        if way not in ("alone", "fleet"):
            raise report_error(f"--ways: {way!r} is none of alone, fleet")
    counts = [parse_number({"--counts": count}, "--counts", 1, 16) for count in options["--counts"].split(",")]

    def print_row(row: Any) -> None:
        print(
            f"{row.way:<6} {row.processes:>2} gateways: health checks per engine and second {row.probes} "
            f"({row.least} to {row.most}) faults {row.faults or 'none'}",
            file=sys.stderr,
            flush=True,
        )

    rows = measure.run(
        counts,
        ways,
        parse_number(options, "--engines", 1, 40),
        parse_number(options, "--seed", 0, 2**31),
        parse_number(options, "--load", 0, 4, float),
        parse_number(options, "--lasts", 1, 600, float),
        reactor,
        print_row,
    )
    flat = measure.flat(rows) if "fleet" in ways and len(counts) > 1 else None
    if options["--json"]:
        print_json({"rows": rows, "flat": flat})
    else:
        print(
            "health checks with [fleet] on are flat within a fifth"
            if flat
            else "not judged: that needs the way 'fleet' and at least two counts"
            if flat is None
            else "health checks with [fleet] on are NOT flat within a fifth"
        )
    return 1 if flat is False or any(row.faults for row in rows) else 0

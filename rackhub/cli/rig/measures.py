"""rackhub rig undos, probes: one figure each, over real processes."""

import sys
from typing import Any

from rackhub.cli.words import as_json, number, refuse


def undos(options: dict[str, Any]) -> int:
    from twisted.internet import reactor

    from rackhub.trials.processes import undos as measure
    from rackhub.trials.processes.torture import there

    if not there("rules"):
        raise refuse("rig undos: this program has no rule book")
    report = measure.run(
        number(options, "--processes", 3, 16),
        number(options, "--count", 1, 1_000),
        number(options, "--seed", 0, 2**31),
        number(options, "--load", 0, 4, float),
        reactor,
    )
    if options["--json"]:
        as_json(report)
    else:
        print(
            f"{report.undos} undos at {report.processes} gateways: until the last one held it p50 "
            f"{report.p50_ms:.0f} ms, p99 {report.p99_ms:.0f} ms, most {report.most_ms:.0f} ms"
        )
        print(
            f"{report.not_held} not held by all within the wait, {report.refused} refused; faults "
            f"{report.faults or 'none'}"
        )
    return 1 if report.faults or report.not_held or not report.undos else 0


def probes(options: dict[str, Any]) -> int:
    from twisted.internet import reactor

    from rackhub.trials.processes import probes as measure

    ways = [way for way in options["--ways"].split(",") if way != "one"]
    for way in ways:
        if way not in ("alone", "fleet"):
            raise refuse(f"--ways: {way!r} is none of alone, fleet")
    counts = [number({"--counts": each}, "--counts", 1, 16) for each in options["--counts"].split(",")]

    def told(row: Any) -> None:
        print(
            f"{row.way:<6} {row.processes:>2} gateways: probes of each engine a second {row.probes} "
            f"({row.least} to {row.most}) faults {row.faults or 'none'}",
            file=sys.stderr,
            flush=True,
        )

    rows = measure.run(
        counts,
        ways,
        number(options, "--engines", 1, 40),
        number(options, "--seed", 0, 2**31),
        number(options, "--load", 0, 4, float),
        number(options, "--lasts", 1, 600, float),
        reactor,
        told,
    )
    flat = measure.flat(rows) if "fleet" in ways and len(counts) > 1 else None
    if options["--json"]:
        as_json({"rows": rows, "flat": flat})
    else:
        print(
            "the fleet's are flat within a fifth"
            if flat
            else "not judged: it takes the fleet and two counts"
            if flat is None
            else "the fleet's are NOT flat"
        )
    return 1 if flat is False or any(row.faults for row in rows) else 0

"""rackhub rig overload: compare independent gateways, a fleet and a single gateway under the same arrivals."""

import sys
from typing import Any

from rackhub.cli.words import parse_number, print_json, report_error


def overload(options: dict[str, Any]) -> int:
    from twisted.internet import reactor

    from rackhub.trials.processes import compare

    ways = options["--ways"].split(",")
    for way in ways:
        if way not in compare.WAYS:
            raise report_error(f"--ways: {way!r} is none of {', '.join(compare.WAYS)}")
    times = [
        parse_number({"--times": multiple}, "--times", 0.1, 20, float) for multiple in options["--times"].split(",")
    ]
    first = parse_number(options, "--seed", 0, 2**31)
    seeds = range(first, first + parse_number(options, "--seeds", 1, 100))

    def print_row(row: Any) -> None:
        print(
            f"{row.way:<6} {row.times:g} times, seed {row.seed}: worth {row.worth} before {row.before} after "
            f"{row.after} attempts {row.attempts} tries {row.tries} carried on {row.carried_on} back after s "
            f"{row.recovered_s} probes {row.probes} faults {row.faults or 'none'}",
            file=sys.stderr,
            flush=True,
        )

    rows = compare.run(
        parse_number(options, "--processes", 1, 16),
        parse_number(options, "--engines", 1, 40),
        times,
        ways,
        seeds,
        parse_number(options, "--lasts", 1, 600, float),
        not options["--heedless"],
        reactor,
        print_row,
    )
    summary = compare.summary(rows)
    if options["--json"]:
        print_json({"rows": rows, "summary": summary})
    else:
        print(
            f"{'way':<7}{'times':>6}{'worth':>7}{'of one':>8}{'attempts':>9}{'tries':>7}{'carried on':>11}"
            f"{'back s':>7}{'not back':>9}{'probes':>8}"
        )
        for row in summary:
            of_one = "" if row.of_one is None else f"{row.of_one:.3f}"
            back = "" if row.recovered_s is None else row.recovered_s
            print(
                f"{row.way:<7}{row.times:>6g}{row.worth:>7.3f}{of_one:>8}{row.attempts:>9.3f}{row.tries:>7.3f}"
                f"{row.carried_on:>11.1f}{back:>7}{row.not_recovered:>9}{row.probes:>8.2f}"
            )
    return 1 if any(row.faults for row in rows) else 0

"""rackhub rig overload: the same arrivals in three ways."""

import sys
from typing import Any

from rackhub.cli.words import as_json, number, refuse


def overload(options: dict[str, Any]) -> int:
    from twisted.internet import reactor

    from rackhub.trials.processes import compare

    ways = options["--ways"].split(",")
    for way in ways:
        if way not in compare.WAYS:
            raise refuse(f"--ways: {way!r} is none of {', '.join(compare.WAYS)}")
    times = [number({"--times": each}, "--times", 0.1, 20, float) for each in options["--times"].split(",")]
    first = number(options, "--seed", 0, 2**31)
    seeds = range(first, first + number(options, "--seeds", 1, 100))

    def told(row: Any) -> None:
        print(
            f"{row.way:<6} {row.times:g} times, seed {row.seed}: worth {row.worth} before {row.before} after "
            f"{row.after} attempts {row.attempts} tries {row.tries} carried on {row.carried_on} back after s "
            f"{row.recovered_s} probes {row.probes} faults {row.faults or 'none'}",
            file=sys.stderr,
            flush=True,
        )

    rows = compare.run(
        number(options, "--processes", 1, 16),
        number(options, "--engines", 1, 40),
        times,
        ways,
        seeds,
        number(options, "--lasts", 1, 600, float),
        not options["--heedless"],
        reactor,
        told,
    )
    summary = compare.summary(rows)
    if options["--json"]:
        as_json({"rows": rows, "summary": summary})
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

"""rackhub bench: benchmark components of the program on this machine.

Usage:
  rackhub bench timings [--seeds N] [--seconds N] [--workers N] [--json]
  rackhub bench fleet [--rounds N] [--json]
  rackhub bench (-h | --help)

Commands:
  timings  Hedging, retry budgets and routes against simple engines in virtual time, and their CPU cost; takes minutes.
  fleet    CPU time per request of the core and its decision module, with 8, 60 and 300 listed engines.

Options:
  --rounds N   Rounds of 400 requests for each fleet size, 3 to 1000 [default: 21].
  --seeds N    Runs of each variant, 1 to 1000 [default: 8].
  --seconds N  Maximum duration of a run in virtual seconds, 5 to 600 [default: 60].
  --workers N  Worker processes; 0: one per core [default: 0].
  --json       Print one JSON document instead of text.

Exit status: 0 success, 1 a request was answered twice or never, 2 bad usage.
"""

import os
import sys
from collections.abc import Sequence

from rackhub.cli.words import parse, parse_number, print_json


def run(arguments: Sequence[str]) -> int:
    options = parse(__doc__ or "", arguments)
    if options["fleet"]:
        return fleet(parse_number(options, "--rounds", 3, 1_000), options["--json"])
    from rackhub.timings import bench

    seeds, seconds = parse_number(options, "--seeds", 1, 1_000), parse_number(options, "--seconds", 5, 600)
    progress_bar = None
    if sys.stderr.isatty():
        from tqdm import tqdm

        progress_bar = tqdm(total=seeds * sum(len(variants) for _, variants in bench.SCENARIOS.values()), leave=False)
    report = bench.run(
        seeds,
        seconds,
        parse_number(options, "--workers", 0, 1_024) or os.cpu_count() or 1,
        progress_bar.update if progress_bar is not None else lambda: None,
    )
    if progress_bar is not None:
        progress_bar.close()
    if options["--json"]:
        print_json(report)
    else:
        scenario = ""
        for row in report.rows:
            if row.scenario != scenario:
                scenario = row.scenario
                print(
                    f"\n{scenario}\n{'':<28}{'p50':>6}{'p99':>7}{'p99.9':>7}{'good/s':>8}{'served':>8}{'attempts':>9}"
                    f"{'copies':>8}{'work':>7}"
                )
            print(
                f"{row.variant:<28}{row.p50_ms:>6.0f}{row.p99_ms:>7.0f}{row.p999_ms:>7.0f}{row.good:>8.0f}"
                f"{row.served:>8.3f}{row.attempts:>9.3f}{row.copies:>8.3f}{row.work:>7.3f}"
            )
        print(
            f"\nCPU per request: {report.cost.none_us:.1f} us without routes, {report.cost.routes_us:.1f} us with "
            f"{report.cost.routes}: ratio {report.cost.ratio:.3f}"
        )
    return 1 if any(row.wrong for row in report.rows) else 0


def fleet(rounds: int, json: bool) -> int:
    from rackhub.trials.virtual.cost import SIZES, measure

    rows = measure(SIZES, rounds)
    if json:
        print_json(rows)
    else:
        for row in rows:
            print(f"{row.engines:4} engines: {row.us:6.1f} us of CPU per request, {row.ratio:.2f} times")
    return 0

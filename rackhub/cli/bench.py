"""rackhub bench: what parts of the program do and cost on this machine.

Usage:
  rackhub bench timings [--seeds N] [--seconds N] [--workers N] [--json]
  rackhub bench fleet [--rounds N] [--json]
  rackhub bench (-h | --help)

Commands:
  timings  Second copies, budgets and routes on plain engines in virtual time, and their cost; takes minutes.
  fleet    CPU a request of the core with the decision module, with 8, 60 and 300 engines in the list.

Options:
  --rounds N   Of 400 requests at each size, 3 to 1000 [default: 21].
  --seeds N    Runs of each, 1 to 1000 [default: 8].
  --seconds N  Of each run at most, in virtual time, 5 to 600 [default: 60].
  --workers N  Processes; 0: one a core [default: 0].
  --json       One JSON document instead of text.

Exit status: 0 done, 1 an answer was doubled or missing, 2 bad usage.
"""

import os
import sys
from collections.abc import Sequence

from rackhub.cli.words import as_json, number, parse


def run(words: Sequence[str]) -> int:
    options = parse(__doc__ or "", words)
    if options["fleet"]:
        return fleet(number(options, "--rounds", 3, 1_000), options["--json"])
    from rackhub.timings import bench

    seeds, seconds = number(options, "--seeds", 1, 1_000), number(options, "--seconds", 5, 600)
    bar = None
    if sys.stderr.isatty():
        from tqdm import tqdm

        bar = tqdm(total=seeds * sum(len(ways) for _, ways in bench.SCENARIOS.values()), leave=False)
    report = bench.run(
        seeds,
        seconds,
        number(options, "--workers", 0, 1_024) or os.cpu_count() or 1,
        bar.update if bar is not None else lambda: None,
    )
    if bar is not None:
        bar.close()
    if options["--json"]:
        as_json(report)
    else:
        scene = ""
        for row in report.rows:
            if row.scenario != scene:
                scene = row.scenario
                print(
                    f"\n{scene}\n{'':<28}{'p50':>6}{'p99':>7}{'p99.9':>7}{'good/s':>8}{'served':>8}{'attempts':>9}"
                    f"{'copies':>8}{'work':>7}"
                )
            print(
                f"{row.variant:<28}{row.p50_ms:>6.0f}{row.p99_ms:>7.0f}{row.p999_ms:>7.0f}{row.good:>8.0f}"
                f"{row.served:>8.3f}{row.attempts:>9.3f}{row.copies:>8.3f}{row.work:>7.3f}"
            )
        print(
            f"\nCPU a request: {report.cost.none_us:.1f} us without routes, {report.cost.routes_us:.1f} us with "
            f"{report.cost.routes}: ratio {report.cost.ratio:.3f}"
        )
    return 1 if any(row.wrong for row in report.rows) else 0


def fleet(rounds: int, json: bool) -> int:
    from rackhub.trials.virtual.cost import SIZES, measure

    rows = measure(SIZES, rounds)
    if json:
        as_json(rows)
    else:
        for row in rows:
            print(f"{row.engines:4} engines: {row.us:6.1f} us of CPU a request, {row.ratio:.2f} times")
    return 0

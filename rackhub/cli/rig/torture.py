"""rackhub rig torture, cases: hard cases in turn, and what there are."""

from typing import Any

from rackhub.cli.words import as_json, number, refuse


def torture(options: dict[str, Any]) -> int:
    from twisted.internet import reactor

    from rackhub.trials.processes import torture
    from rackhub.trials.processes.cases import CASES

    name = options["--case"]
    if name is not None and name not in CASES:
        raise refuse(f"--case: there is no {name!r}; there are {', '.join(CASES)}")
    cycles = number(options, "--cycles", 0, 10_000) or (1 if name else len(CASES))
    processes, seed = number(options, "--processes", 2, 16), number(options, "--seed", 0, 2**31)

    def told(verdict: Any) -> None:
        if not options["--json"]:
            print(line(verdict), flush=True)

    report = torture.run(
        processes, cycles, seed, [name] if name else [], reactor, options["--brief"], options["--fleet"], told
    )
    if options["--json"]:
        as_json(report)
    else:
        for case, why in report.skipped.items():
            print(f"{case:<20} not run: {why}")
        print(
            f"{report.ran} runs: faults {report.faults or 'none'}, {report.unsettled} not settled, "
            f"{len(report.skipped)} cases not run"
        )
    return 0 if report.good() else 1


def line(verdict: Any) -> str:
    """One verdict in words."""
    figures = verdict.figures
    told = [f"{verdict.case:<20} seed {verdict.seed}"]
    for key, word in (
        ("worth_before", "before"),
        ("worth_during", "during"),
        ("worth_after", "after"),
        ("recovered_s", "back after s"),
        ("tries_a_request", "tries"),
        ("attempts_a_request", "attempts"),
        ("cold_worst", "cold"),
    ):
        if key in figures:
            told.append(f"{word} {figures[key]}")
    if verdict.totals is not None:
        told.append(f"carried on {verdict.totals.carried_on} of {verdict.totals.requests}")
    told.append("safe" if verdict.safe() else f"FAULTS {verdict.faults} {verdict.examples}")
    told += [f"NOT SETTLED: {why}" for why in verdict.unsettled]
    return "  ".join(told)


def cases(options: dict[str, Any]) -> int:
    from rackhub.trials.processes.cases import CASES
    from rackhub.trials.processes.torture import missing

    if options["--json"]:
        as_json([{"name": case.name, "about": case.about, "not_run": missing(case)} for case in CASES.values()])
    else:
        for case in CASES.values():
            why = missing(case)
            print(f"{case.name:<20} {case.about}{f' (not run: {why})' if why else ''}")
    return 0

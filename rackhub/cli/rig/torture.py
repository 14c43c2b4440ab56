"""rackhub rig torture, cases: run fault cases in turn, and list them."""

from typing import Any

from rackhub.cli.words import parse_number, print_json, report_error


def torture(options: dict[str, Any]) -> int:
    from twisted.internet import reactor

    from rackhub.trials.processes import torture
    from rackhub.trials.processes.cases import CASES

    name = options["--case"]
    if name is not None and name not in CASES:
        raise report_error(f"--case: there is no {name!r}; the cases are {', '.join(CASES)}")
    cycles = parse_number(options, "--cycles", 0, 10_000) or (1 if name else len(CASES))
    processes, seed = parse_number(options, "--processes", 2, 16), parse_number(options, "--seed", 0, 2**31)

    def print_verdict(verdict: Any) -> None:
        if not options["--json"]:
            print(format_verdict(verdict), flush=True)

    report = torture.run(
        processes, cycles, seed, [name] if name else [], reactor, options["--brief"], options["--fleet"], print_verdict
    )
    if options["--json"]:
        print_json(report)
    else:
        for case, why in report.skipped.items():
            print(f"{case:<20} not run: {why}")
        print(
            f"{report.ran} runs: faults {report.faults or 'none'}, {report.unsettled} not settled, "
            f"{len(report.skipped)} cases not run"
        )
    return 0 if report.good() else 1


def format_verdict(verdict: Any) -> str:
    """Return one verdict as a line of text."""
    figures = verdict.figures
    columns = [f"{verdict.case:<20} seed {verdict.seed}"]
    for key, label in (
        ("worth_before", "before"),
        ("worth_during", "during"),
        ("worth_after", "after"),
        ("recovered_s", "back after s"),
        ("tries_a_request", "tries"),
        ("attempts_a_request", "attempts"),
        ("cold_worst", "cold"),
    ):
        if key in figures:
            columns.append(f"{label} {figures[key]}")
    if verdict.totals is not None:
        columns.append(f"carried on {verdict.totals.carried_on} of {verdict.totals.requests}")
    columns.append("safe" if verdict.safe() else f"FAULTS {verdict.faults} {verdict.examples}")
    columns += [f"NOT SETTLED: {why}" for why in verdict.unsettled]
    return "  ".join(columns)


def cases(options: dict[str, Any]) -> int:
    from rackhub.trials.processes.cases import CASES
    from rackhub.trials.processes.torture import missing

    if options["--json"]:
        print_json([{"name": case.name, "about": case.about, "not_run": missing(case)} for case in CASES.values()])
    else:
        for case in CASES.values():
            why = missing(case)
            print(f"{case.name:<20} {case.about}{f' (not run: {why})' if why else ''}")
    return 0

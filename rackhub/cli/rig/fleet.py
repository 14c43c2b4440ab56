"""rackhub rig up, query: run a fleet until it is stopped, and send one request to it."""

import sys
from typing import Any

from rackhub.cli.words import parse_number, print_json, report_error


def make_plan(options: dict[str, Any]) -> Any:
    from rackhub.trials.processes.site import Plan

    keepers = parse_number(options, "--keepers", 0, 5)
    gateways = parse_number(options, "--gateways", 1, 16)
    if keepers not in (0, 1, 3, 5) or keepers > gateways or keepers and not options["--fleet"]:
        raise report_error(
            f"--keepers: {keepers}: has to be 0, 1, 3 or 5, at most the number of gateways, and needs --fleet"
        )
    return Plan(
        gateways=gateways,
        sites=parse_number(options, "--sites", 1, 8),
        keepers=keepers,
        engines=parse_number(options, "--engines", 1, 40),
        cores=parse_number(options, "--cores", 0.5, 64, float),
        seed=parse_number(options, "--seed", 0, 2**31),
        peers=options["--fleet"],
        fleet=options["--fleet"],
    )


def up(options: dict[str, Any]) -> int:
    plan, seconds = make_plan(options), parse_number(options, "--for", 0, 86_400, float)
    from twisted.internet import reactor

    from rackhub.trials.processes import running
    from rackhub.trials.processes.clock import Monotonic, stop_on_signals, turn
    from rackhub.trials.processes.rig import Rig

    stop_on_signals()
    clock, path = Monotonic(), running.place()
    untyped_reactor: Any = reactor
    with Rig(plan, reactor) as rig:
        try:
            rig.up()
        except KeyboardInterrupt:
            return 0
        running_rig = running.of(rig)
        running.write(running_rig, path)
        try:
            print_rig(running_rig, options["--json"])
            end_at = clock.now() + int(seconds * 1_000_000) if seconds else 0
            while not (end_at and clock.now() > end_at):
                turn(reactor)
                if any(not process.running() for process in rig.processes.by_name.values()):
                    break
        except KeyboardInterrupt:
            pass
        finally:
            running.remove(path)
        rig.processes.end_in_order(lambda: untyped_reactor.iterate(0.02))
        crashed = [crash for process in rig.processes.by_name.values() for crash in process.crashed]
    for crash in crashed:
        print(f"rackhub: {crash}", file=sys.stderr)
    return 1 if crashed else 0


def print_rig(running_rig: Any, json: bool) -> None:
    if json:
        print_json(running_rig)
    else:
        for gateway in running_rig.gateways:
            more = f"  control {gateway.control}  fleet {gateway.fleet}" if gateway.fleet else ""
            print(f"{gateway.name} at {gateway.site}: clients {gateway.clients}  staff {gateway.staff}{more}")
        print(f"{len(running_rig.engines)} engines, logs in {running_rig.logs}; Ctrl-C stops all processes")
    sys.stdout.flush()


def query(options: dict[str, Any]) -> int:
    from rackhub.trials.processes import running
    from rackhub.trials.processes.one import ask

    budget = parse_number(options, "--budget-ms", 0, 3_600_000)
    running_rig = running.read(running.place())
    if running_rig is None and not options["--at"]:
        raise report_error("no rig is running here: start one with 'rackhub rig up', or name one with --at")
    gateways = running_rig.gateways if running_rig else []
    addresses = (
        [options["--at"]]
        if options["--at"]
        else [gateway.clients for gateway in gateways if options["--gateway"] in (None, gateway.name)]
    )
    if not addresses:
        raise report_error(
            f"--gateway: the rig has no {options['--gateway']!r}; "
            f"it has {', '.join(gateway.name for gateway in gateways)}"
        )
    class_by_name = {known.name: known for known in running_rig.classes} if running_rig else {}
    request_class = class_by_name.get(options["--class"])
    if class_by_name and request_class is None:
        raise report_error(f"--class: the rig has no {options['--class']!r}; it has {', '.join(class_by_name)}")
    tenant = options["--tenant"] or (running_rig.tenants[0] if running_rig and running_rig.tenants else "")
    try:
        answer = ask(
            addresses,
            options["--class"],
            options["--statement"].encode(),
            tenant,
            budget or (request_class.deadline_ms if request_class else 10_000),
            options["--key"],
            bool(request_class and request_class.keyed),
        )
    except ValueError as error:
        raise report_error(f"--at: {error}") from None
    if options["--json"]:
        print_json(answer)
    elif answer.how == "served":
        sys.stdout.write("".join("\t".join(row) + "\n" for row in answer.rows))
    else:
        print(f"rackhub: {answer.how}: {answer.message}", file=sys.stderr)
    return 0 if answer.how == "served" else 1

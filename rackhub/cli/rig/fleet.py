"""rackhub rig up, query: a fleet that stays up, and one request to it."""

import sys
from typing import Any

from rackhub.cli.words import as_json, number, refuse


def plan_of(options: dict[str, Any]) -> Any:
    from rackhub.trials.processes.site import Plan

    keepers = number(options, "--keepers", 0, 5)
    gateways = number(options, "--gateways", 1, 16)
    if keepers not in (0, 1, 3, 5) or keepers > gateways or keepers and not options["--fleet"]:
        raise refuse(f"--keepers: {keepers}: none, 1, 3 or 5, at most as many as gateways, and with --fleet")
    return Plan(
        gateways=gateways,
        sites=number(options, "--sites", 1, 8),
        keepers=keepers,
        engines=number(options, "--engines", 1, 40),
        cores=number(options, "--cores", 0.5, 64, float),
        seed=number(options, "--seed", 0, 2**31),
        peers=options["--fleet"],
        fleet=options["--fleet"],
    )


def up(options: dict[str, Any]) -> int:
    plan, seconds = plan_of(options), number(options, "--for", 0, 86_400, float)
    from twisted.internet import reactor

    from rackhub.trials.processes import running
    from rackhub.trials.processes.clock import Monotonic, stop_on_signals, turn
    from rackhub.trials.processes.rig import Rig

    stop_on_signals()
    clock, path = Monotonic(), running.place()
    spin: Any = reactor
    with Rig(plan, reactor) as rig:
        try:
            rig.up()
        except KeyboardInterrupt:
            return 0
        here = running.of(rig)
        running.write(here, path)
        try:
            show(here, options["--json"])
            until = clock.now() + int(seconds * 1_000_000) if seconds else 0
            while not (until and clock.now() > until):
                turn(reactor)
                if any(not process.running() for process in rig.processes.by_name.values()):
                    break
        except KeyboardInterrupt:
            pass
        finally:
            running.remove(path)
        rig.processes.end_in_order(lambda: spin.iterate(0.02))
        crashed = [text for process in rig.processes.by_name.values() for text in process.crashed]
    for text in crashed:
        print(f"rackhub: {text}", file=sys.stderr)
    return 1 if crashed else 0


def show(here: Any, json: bool) -> None:
    if json:
        as_json(here)
    else:
        for each in here.gateways:
            more = f"  control {each.control}  fleet {each.fleet}" if each.fleet else ""
            print(f"{each.name} at {each.site}: clients {each.clients}  staff {each.staff}{more}")
        print(f"{len(here.engines)} engines, logs in {here.logs}; Ctrl-C ends all")
    sys.stdout.flush()


def query(options: dict[str, Any]) -> int:
    from rackhub.trials.processes import running
    from rackhub.trials.processes.one import ask

    budget = number(options, "--budget-ms", 0, 3_600_000)
    here = running.read(running.place())
    if here is None and not options["--at"]:
        raise refuse("no rig runs here: start one with 'rackhub rig up', or name one with --at")
    gateways = here.gateways if here else []
    addresses = (
        [options["--at"]]
        if options["--at"]
        else [each.clients for each in gateways if options["--gateway"] in (None, each.name)]
    )
    if not addresses:
        raise refuse(
            f"--gateway: the rig has no {options['--gateway']!r}; it has {', '.join(each.name for each in gateways)}"
        )
    told = {each.name: each for each in here.classes} if here else {}
    cls = told.get(options["--class"])
    if told and cls is None:
        raise refuse(f"--class: the rig has no {options['--class']!r}; it has {', '.join(told)}")
    tenant = options["--tenant"] or (here.tenants[0] if here and here.tenants else "")
    try:
        answer = ask(
            addresses,
            options["--class"],
            options["--statement"].encode(),
            tenant,
            budget or (cls.deadline_ms if cls else 10_000),
            options["--key"],
            bool(cls and cls.keyed),
        )
    except ValueError as bad:
        raise refuse(f"--at: {bad}") from None
    if options["--json"]:
        as_json(answer)
    elif answer.how == "served":
        sys.stdout.write("".join("\t".join(row) + "\n" for row in answer.rows))
    else:
        print(f"rackhub: {answer.how}: {answer.message}", file=sys.stderr)
    return 0 if answer.how == "served" else 1

"""Faults by name that the stress test injects into the simulated network, with random parameters."""

import random
from collections.abc import Callable

import msgspec

from rackhub.fleet.link import frames as f
from rackhub.fleet.link.datagram_builder import DatagramBuilder
from rackhub.fleet.members.events import Leave
from rackhub.trials.fleet.members_check import InvariantChecker
from rackhub.trials.fleet.members_wire import CLUSTER, Gateway, Wire
from rackhub.trials.fleet.twin import MS, SECOND

Fault = Callable[[Wire, InvariantChecker, random.Random], None]


def loss(wire: Wire, checker: InvariantChecker, rng: random.Random) -> None:
    wire.lose = rng.choice((0.05, 0.1, 0.3))


def double(wire: Wire, checker: InvariantChecker, rng: random.Random) -> None:
    wire.double = 0.2


def disorder(wire: Wire, checker: InvariantChecker, rng: random.Random) -> None:
    wire.least, wire.most = 200, 150 * MS


def damage(wire: Wire, checker: InvariantChecker, rng: random.Random) -> None:
    wire.damage = 0.05


def pick_running(wire: Wire, rng: random.Random, most: int) -> list[Gateway]:
    running = wire.running()
    return rng.sample(running, min(len(running), rng.randint(1, most)))


def one_way(wire: Wire, checker: InvariantChecker, rng: random.Random) -> None:
    """Cut one direction between a gateway and one, two or up to 24 others."""
    one = rng.choice(list(wire.gateways))
    others = [name for name in wire.gateways if name != one]
    others = rng.sample(others, min(rng.choice((1, 2, 24)), len(others)))
    wire.cut([one], others, both=False) if rng.random() < 0.5 else wire.cut(others, [one], both=False)


def halves(wire: Wire, checker: InvariantChecker, rng: random.Random) -> None:
    names = rng.sample(list(wire.gateways), len(wire.gateways))
    wire.cut(names[: len(names) // 2], names[len(names) // 2 :])


def pause(wire: Wire, checker: InvariantChecker, rng: random.Random) -> None:
    """Pause up to two gateways for 20 s, with messages to others just begun."""
    for gateway in pick_running(wire, rng, 2):
        for other in rng.sample(list(wire.gateways), min(2, len(wire.gateways))):
            if other != gateway.name:
                checker.send(gateway, other, 20_000)
        gateway.pause()
        starts = gateway.starts

        def wake(gateway: Gateway = gateway, starts: int = starts) -> None:
            if gateway.paused and gateway.starts == starts:
                gateway.wake()

        wire.time.later(20 * SECOND, wake)


def kill(wire: Wire, checker: InvariantChecker, rng: random.Random) -> None:
    for gateway in pick_running(wire, rng, max(1, len(wire.gateways) // 3)):
        gateway.kill()


def restart(wire: Wire, checker: InvariantChecker, rng: random.Random) -> None:
    """Kill up to three gateways and restart them within 3 s, sometimes without state and with an earlier clock."""
    for gateway in pick_running(wire, rng, 3):
        gateway.kill()
        boot = gateway.boot - 50_000 if rng.random() < 0.3 else None
        if boot is not None:
            checker.unranked[gateway.name] = wire.time.now() + 30 * SECOND
        wire.time.later(
            rng.randrange(3 * SECOND),
            lambda gateway=gateway, boot=boot: (  # type: ignore[misc]
                None if gateway.up else gateway.start(boot)
            ),
        )


def late(wire: Wire, checker: InvariantChecker, rng: random.Random) -> None:
    """Delay all datagrams of one gateway by 2 s."""
    one = rng.choice(list(wire.gateways))
    for other in wire.gateways:
        if other != one:
            wire.late[one, other] = 2 * SECOND


def reborn(wire: Wire, checker: InvariantChecker, rng: random.Random) -> None:
    """Restart a gateway whose datagrams are 2 s late: the late ones belong to its previous generation."""
    late(wire, checker, rng)
    gateway = wire.gateways[next(iter(wire.late))[0]]

    def restart_at_once() -> None:
        if gateway.up and not gateway.paused:
            gateway.kill()
            wire.late.clear()
            gateway.start()

    wire.time.later(4 * SECOND, restart_at_once)


def leave(wire: Wire, checker: InvariantChecker, rng: random.Random) -> None:

    for gateway in pick_running(wire, rng, 1):
        gateway.step(Leave())
        wire.time.later(600 * MS, gateway.kill)


def nonsense(wire: Wire, checker: InvariantChecker, rng: random.Random) -> None:
    """Let a gateway send false claims about others for 10 s, and records and malformed frames in their names."""
    if not wire.running():
        return
    checker.forged = True
    forger = rng.choice(wire.running())
    ends, names = wire.time.now() + 10 * SECOND, list(wire.gateways)

    def forge() -> None:
        if wire.time.now() > ends:
            return
        wire.time.later(100 * MS, forge)
        if not forger.up or forger.paused:
            return
        target, victim = wire.gateways[rng.choice(names)], wire.gateways[rng.choice(names)]
        builder = DatagramBuilder(CLUSTER, forger.name, target.name)
        number = rng.choice((0, 1, 7, 1 << 19, 1 << 30, 1 << 53))
        host = rng.choice((victim.address[0], "10.9.9.9"))
        builder.add_frame(
            f.encode(
                f.Claim(
                    victim.name,
                    host,
                    victim.address[1],
                    victim.boot + rng.choice((0, 0, 1, 1 << 20, 1 << 42, 1 << 52)),
                    number,
                    rng.randrange(4),
                    forger.name,
                )
            )
        )
        builder.add_frame(f.encode(f.RecordUpdate(victim.name, "demand", victim.boot, number, 0, b"nonsense")))
        builder.add_frame(f.encode(f.StateRequest({name: ["demand"] * 40 for name in names})))
        builder.add_frame(msgspec.msgpack.encode([99, "a kind that nobody knows"]))
        builder.add_frame(msgspec.msgpack.encode([3, rng.randbytes(9)]))
        stamps = [rng.randrange(1 << 53) for _ in range(3)]
        wire.carry(forger, target.address, builder.build(forger.core.local_member.generation, *stamps))

    forge()


FAULTS: dict[str, Fault] = {
    fault.__name__: fault
    for fault in (loss, double, disorder, damage, one_way, halves, pause, kill, restart, late, reborn, leave, nonsense)
}

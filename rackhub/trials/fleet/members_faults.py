"""Faults by schedule: what befalls a fleet on the twin of the wire, each by name, drawn from the wire's seed."""

import random
from collections.abc import Callable

import msgspec

from rackhub.fleet.link import frames as f
from rackhub.fleet.link.datagram_builder import DatagramBuilder
from rackhub.fleet.members.events import Leave
from rackhub.trials.fleet.members_check import Watch
from rackhub.trials.fleet.members_wire import CLUSTER, Gateway, Wire
from rackhub.trials.fleet.twin import MS, SECOND

Fault = Callable[[Wire, Watch, random.Random], None]


def loss(wire: Wire, watch: Watch, draw: random.Random) -> None:
    wire.lose = draw.choice((0.05, 0.1, 0.3))


def double(wire: Wire, watch: Watch, draw: random.Random) -> None:
    wire.double = 0.2


def disorder(wire: Wire, watch: Watch, draw: random.Random) -> None:
    wire.least, wire.most = 200, 150 * MS


def damage(wire: Wire, watch: Watch, draw: random.Random) -> None:
    wire.damage = 0.05


def some(wire: Wire, draw: random.Random, most: int) -> list[Gateway]:
    running = wire.running()
    return draw.sample(running, min(len(running), draw.randint(1, most)))


def one_way(wire: Wire, watch: Watch, draw: random.Random) -> None:
    """One does not hear one, a few or all others."""
    one = draw.choice(list(wire.gateways))
    others = [name for name in wire.gateways if name != one]
    others = draw.sample(others, min(draw.choice((1, 2, 24)), len(others)))
    wire.cut([one], others, both=False) if draw.random() < 0.5 else wire.cut(others, [one], both=False)


def halves(wire: Wire, watch: Watch, draw: random.Random) -> None:
    names = draw.sample(list(wire.gateways), len(wire.gateways))
    wire.cut(names[: len(names) // 2], names[len(names) // 2 :])


def pause(wire: Wire, watch: Watch, draw: random.Random) -> None:
    """Up to two stand still for 20 s and wake with what was sent to them, and with mail just begun."""
    for gateway in some(wire, draw, 2):
        for other in draw.sample(list(wire.gateways), min(2, len(wire.gateways))):
            if other != gateway.name:
                watch.send(gateway, other, 20_000)
        gateway.pause()
        starts = gateway.starts

        def wake(gateway: Gateway = gateway, starts: int = starts) -> None:
            if gateway.paused and gateway.starts == starts:
                gateway.wake()

        wire.time.later(20 * SECOND, wake)


def kill(wire: Wire, watch: Watch, draw: random.Random) -> None:
    for gateway in some(wire, draw, max(1, len(wire.gateways) // 3)):
        gateway.kill()


def restart(wire: Wire, watch: Watch, draw: random.Random) -> None:
    """Killed and back in up to 3 s, sometimes by a clock that was set back and with nothing kept."""
    for gateway in some(wire, draw, 3):
        gateway.kill()
        boot = gateway.boot - 50_000 if draw.random() < 0.3 else None
        if boot is not None:
            watch.unranked[gateway.name] = wire.time.now() + 30 * SECOND
        wire.time.later(
            draw.randrange(3 * SECOND),
            lambda gateway=gateway, boot=boot: (  # type: ignore[misc]
                None if gateway.up else gateway.start(boot)
            ),
        )


def late(wire: Wire, watch: Watch, draw: random.Random) -> None:
    """All that one sends is 2 s late."""
    one = draw.choice(list(wire.gateways))
    for other in wire.gateways:
        if other != one:
            wire.late[one, other] = 2 * SECOND


def reborn(wire: Wire, watch: Watch, draw: random.Random) -> None:
    """One whose words are 2 s late is killed and back at once: the late ones are of an earlier boot."""
    late(wire, watch, draw)
    gateway = wire.gateways[next(iter(wire.late))[0]]

    def again() -> None:
        if gateway.up and not gateway.paused:
            gateway.kill()
            wire.late.clear()
            gateway.start()

    wire.time.later(4 * SECOND, again)


def leave(wire: Wire, watch: Watch, draw: random.Random) -> None:

    for gateway in some(wire, draw, 1):
        gateway.step(Leave())
        wire.time.later(600 * MS, gateway.kill)


def nonsense(wire: Wire, watch: Watch, draw: random.Random) -> None:
    """One says what is not true of others for 10 s: all ranks, numbers and addresses, and records in their names."""
    if not wire.running():
        return
    watch.forged = True
    liar = draw.choice(wire.running())
    ends, names = wire.time.now() + 10 * SECOND, list(wire.gateways)

    def lie() -> None:
        if wire.time.now() > ends:
            return
        wire.time.later(100 * MS, lie)
        if not liar.up or liar.paused:
            return
        target, victim = wire.gateways[draw.choice(names)], wire.gateways[draw.choice(names)]
        builder = DatagramBuilder(CLUSTER, liar.name, target.name)
        wild = draw.choice((0, 1, 7, 1 << 19, 1 << 30, 1 << 53))
        host = draw.choice((victim.address[0], "10.9.9.9"))
        builder.add_frame(
            f.encode(
                f.Claim(
                    victim.name,
                    host,
                    victim.address[1],
                    victim.boot + draw.choice((0, 0, 1, 1 << 20, 1 << 42, 1 << 52)),
                    wild,
                    draw.randrange(4),
                    liar.name,
                )
            )
        )
        builder.add_frame(f.encode(f.RecordUpdate(victim.name, "demand", victim.boot, wild, 0, b"nonsense")))
        builder.add_frame(f.encode(f.StateRequest({name: ["demand"] * 40 for name in names})))
        builder.add_frame(msgspec.msgpack.encode([99, "a kind that nobody knows"]))
        builder.add_frame(msgspec.msgpack.encode([3, draw.randbytes(9)]))
        stamps = [draw.randrange(1 << 53) for _ in range(3)]
        wire.carry(liar, target.address, builder.build(liar.core.local_member.generation, *stamps))

    lie()


FAULTS: dict[str, Fault] = {
    fault.__name__: fault
    for fault in (loss, double, disorder, damage, one_way, halves, pause, kill, restart, late, reborn, leave, nonsense)
}

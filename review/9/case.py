"""Whether engines stay out that were taken out while the process was being replaced."""

import asyncio
import random
import signal
import subprocess
from collections import Counter
from pathlib import Path

from review.stand_ins_2 import site
from review.stand_ins_2.clients import Call, Client, settle, wait_ready
from review.stand_ins_2.engines import Engine
from review.stand_ins_2.resolver import Resolver
from review.stand_ins_2.world import HOST, CannotRunError, World, free_port, play, until

ENGINES, OUT_OF_EACH = 10, 3  # engines, and those that each of the two scripts takes out
ROUNDS = 4
OUT_SECONDS = 5  # from the calls out to the calls back
GRACE = 1.05  # seconds: StopSendingWithin, and the 50 ms of each time limit
RATE = 60  # lookups a second


async def operator_call(port: int, line: str) -> str:
    """Make one call at a second address and return its answer."""
    try:
        reader, writer = await asyncio.open_connection(HOST, port)
        writer.write(line.encode() + b"\n")
        answer = (await asyncio.wait_for(reader.read(), 3)).decode().strip()
        writer.close()
    except (OSError, TimeoutError) as error:
        return f"{type(error).__name__}"
    return answer


class Site:
    """The coordinator with its second addresses, and what was taken out when."""

    def __init__(self, world: World, resolver: Resolver):
        self.world, self.resolver, self.port = world, resolver, free_port()
        self.process: subprocess.Popen[bytes] | None = None
        self.operator_port = 0
        self.out: list[tuple[str, float, float]] = []  # engine, time of the yes, time of the call back
        self._starts = 0

    def start(self) -> None:
        """Start `run` with the same address for clients, a new second address, and the same $TMPDIR."""
        self._starts += 1
        self.operator_port = free_port()
        config = self.world.place / f"config-{self._starts}.json"
        listen, nameserver, entries = (HOST, self.port), self.resolver.address, self.resolver.entries()
        second = f"{HOST}:{self.operator_port}"
        site.write_config(config, "n1", listen, nameserver, entries, site.settings(), operator=second)
        self.process = self.world.start("n1", config, tmp="shared")

    async def ready(self) -> None:
        """Wait until the newest process says yes."""
        end = self.world.now() + 30
        while not (await operator_call(self.operator_port, "HEALTH")).startswith("YES"):
            if self.world.now() > end:
                raise CannotRunError(f"the coordinator is not ready: {self.world.log_tail('n1')}")
            await asyncio.sleep(0.02)
        self.world.note(f"the process at second address {self.operator_port} says yes to HEALTH")

    async def script(self, port: int, names: list[str], told: dict[str, float]) -> None:
        """Take engines out, one call after the other; a call without a yes is repeated at the newest address."""
        for name in names:
            answer = await operator_call(port, f"OFFLINE {name}")
            if not answer.startswith("YES"):
                self.world.note(f"operator: OFFLINE {name} at {port}: {answer}")
                answer = await operator_call(self.operator_port, f"OFFLINE {name}")
            if not answer.startswith("YES"):
                raise CannotRunError(f"OFFLINE {name}: {answer}")
            told[name] = self.world.now()
            self.world.note(f"operator: OFFLINE {name} at {port}: {answer}")

    async def round(self, names: list[str]) -> None:
        """Take engines out by two scripts at a time, during a replacement, and put them back after a while."""
        told: dict[str, float] = {}
        old, old_port = self.process, self.operator_port
        if self.world.trouble:
            self.start()
            await self.ready()
        first, second = names[:OUT_OF_EACH], names[OUT_OF_EACH:]
        scripts = asyncio.gather(self.script(old_port, first, told), self.script(self.operator_port, second, told))
        if self.world.trouble and old is not None:
            await asyncio.sleep(0.1)
            self.world.signal(old, signal.SIGTERM)
        await scripts
        await asyncio.sleep(OUT_SECONDS)
        for name in names:
            self.out.append((name, told[name], self.world.now()))
            answer = await operator_call(self.operator_port, f"ONLINE {name}")
            self.world.note(f"operator: ONLINE {name}: {answer}")
        if self.world.trouble and old is not None:
            await until(lambda: old.poll() is not None, 8)


async def traffic(world: World, port: int, done: asyncio.Event) -> list[Call]:
    """Send lookups at random times, on connections that change."""
    draws = random.Random(60)
    calls: list[Call] = []
    client = await Client(world, "client-0", port).connect()
    while not done.is_set():
        if len(calls) % 40 == 39 or client.half_closed is not None or client.transport.is_closing():
            client = await Client(world, f"client-{len(calls)}", port).connect()
        statement = f"SELECT q{len(calls)} FROM trips_{len(calls) % 7}.docks /* ms=40 rows=3 */"
        calls.append(client.send("lookup", statement, 3_000))
        await asyncio.sleep(draws.expovariate(RATE))
    return calls


async def case(world: World) -> None:
    """Play the case."""
    engines = [await Engine(world, f"s-{number}").listen() for number in range(ENGINES)]
    resolver = await Resolver(world, lambda: engines).listen()
    coordinator = Site(world, resolver)
    coordinator.start()
    await coordinator.ready()
    if not await wait_ready(world, coordinator.port):
        raise CannotRunError(f"the coordinator is not ready: {world.log_tail('n1')}")
    done = asyncio.Event()

    async def rounds() -> None:
        draws = random.Random(60)
        try:
            for _ in range(ROUNDS):
                await asyncio.sleep(1)
                await coordinator.round(draws.sample([engine.name for engine in engines], 2 * OUT_OF_EACH))
        finally:
            done.set()

    _, calls = await asyncio.gather(rounds(), traffic(world, coordinator.port, done))
    await settle(calls, 5)
    runs = {engine.name: engine.runs for engine in engines}
    for name, told, back in coordinator.out:
        late = [run.at for run in runs[name] if told + GRACE < run.at < back]
        if late:
            world.breach(
                f"{name} was taken out at {told:.3f} with a yes, and got {len(late)} new requests until {back:.3f}"
            )
    summary = f"answers {dict(Counter(call.how for call in calls))}, engines taken out {len(coordinator.out)}"
    world.note(summary)
    print(f"{summary}, used all the same {len(world.broken)}")
    if coordinator.process is not None:
        coordinator.process.terminate()
        await until(lambda: coordinator.process is None or coordinator.process.poll() is not None, 6)


if __name__ == "__main__":
    play(Path(__file__).parent, case)

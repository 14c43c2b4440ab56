"""Whether an answer of a TDS engine that stops short is served as if it were whole."""

import asyncio
import random
from collections import Counter
from pathlib import Path

from review.stand_ins_2 import site
from review.stand_ins_2.clients import Call, Client, settle, wait_ready
from review.stand_ins_2.resolver import Resolver
from review.stand_ins_2.tds import TdsEngine
from review.stand_ins_2.world import HOST, CannotRunError, World, free_port, play, until

SECONDS = 15
RATE = 40  # requests a second
SHORT_EVERY = 20  # every twentieth answer of each engine stops short
OPERATOR = '[tds_engines]\nuser = "rackhub"\npassword = "of-the-engines"\ndatabase = "rides"\n'


async def traffic(world: World, port: int) -> list[Call]:
    """Send lookups and reports at random times, on connections that change."""
    draws = random.Random(60)
    calls: list[Call] = []
    client = await Client(world, "client-0", port).connect()
    for number in range(SECONDS * RATE):
        if number % 50 == 49:
            client = await Client(world, f"client-{number // 50 + 1}", port).connect()
        cls, budget, rows = ("report", 20_000, 60) if number % 4 == 3 else ("lookup", 3_000, 6)
        statement = f"SELECT q{number} FROM trips_{number % 7}.docks /* ms=60 rows={rows} */"
        calls.append(client.send(cls, statement, budget))
        await asyncio.sleep(draws.expovariate(RATE))
    return calls


def judge(world: World, engines: list[TdsEngine], calls: list[Call]) -> None:
    """A served body has to hold all rows of the result, in order and unchanged."""
    made: dict[str, list[bytes]] = {}
    for engine in engines:
        for run in engine.runs:
            made.setdefault(run.id, []).append(b"".join(run.pages))
    for call in calls:
        if call.how == "served" and call.body not in made.get(call.rid, []):
            wanted = max(made.get(call.rid, [b""]), key=len).count(b"\n")
            world.breach(f"{call.rid} {call.cls} was served {call.body.count(10)} of {wanted} rows")
    summary = f"answers {dict(Counter(call.how for call in calls))}, stopped short {sum(e.shorts for e in engines)}"
    world.note(summary)
    print(f"{summary}, served in part as whole {len(world.broken)}")


async def case(world: World) -> None:
    """Play the case."""
    engines = [await TdsEngine(world, f"s-{number}").listen() for number in range(6)]
    resolver = await Resolver(world, lambda: engines).listen()
    port, config, operator = free_port(), world.place / "config.json", world.place / "operator.toml"
    operator.write_text(OPERATOR)
    site.write_config(config, "n1", (HOST, port), resolver.address, resolver.entries(), site.settings())
    process = world.start("n1", config, f" --operator {operator}")
    if not await wait_ready(world, port):
        raise CannotRunError(f"the coordinator is not ready: {world.log_tail('n1')}")
    if world.trouble:
        for engine in engines:
            engine.short_every = SHORT_EVERY
    calls = await traffic(world, port)
    await settle(calls, 22)
    judge(world, engines, calls)
    process.terminate()
    await until(lambda: process.poll() is not None, 8)


if __name__ == "__main__":
    play(Path(__file__).parent, case)

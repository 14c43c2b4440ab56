"""Whether the ration of further attempts is kept where second copies are allowed and an engine is slow."""

import asyncio
import random
from collections import Counter
from pathlib import Path

from review.stand_ins_2 import site
from review.stand_ins_2.clients import Call, Client, settle, wait_ready
from review.stand_ins_2.engines import Engine, Run
from review.stand_ins_2.resolver import Resolver
from review.stand_ins_2.world import HOST, CannotRunError, World, free_port, play, until

SECONDS, RATE = 26, 30
SLOW_FROM, SLOW_SECONDS, SLOW_TIMES = 6, 12, 8
FREE, RATIO, OVER = 2.0, 0.02, 10.0  # Obligations.FreeResends, RepeatRatio and CountedOver in seconds
SLACK = 0.1  # seconds at each end of the span: the rule counts by the coordinator's clock, this by the engines'
OPERATOR = """[[timings.route]]
class = "lookup"
attempts = 3
second_copy = { after_ms = 200, most_share = 0.2 }
"""


async def traffic(world: World, port: int) -> list[Call]:
    """Send lookups at random times, on connections that change."""
    draws = random.Random(60)
    calls: list[Call] = []
    client = await Client(world, "client-0", port).connect()
    while world.now() < SECONDS:
        if len(calls) % 60 == 59:
            client = await Client(world, f"client-{len(calls)}", port).connect()
        statement = f"SELECT q{len(calls)} FROM trips_{len(calls) % 7}.docks /* ms=60 rows=3 */"
        calls.append(client.send("lookup", statement, 3_000))
        await asyncio.sleep(draws.expovariate(RATE))
    return calls


async def slow_engine(world: World, engine: Engine) -> None:
    """Make one engine slower for a while."""
    await asyncio.sleep(SLOW_FROM)
    if world.trouble:
        world.note(f"{engine.name} is {SLOW_TIMES} times slower")
        engine.slow = SLOW_TIMES
        await asyncio.sleep(SLOW_SECONDS)
        engine.slow = 1
        world.note(f"{engine.name} is as fast as before")


def judge(world: World, engines: list[Engine], calls: list[Call]) -> None:
    """Count the attempts after each request's first, in every span that ends with one of them."""
    runs: list[Run] = sorted((run for engine in engines for run in engine.runs), key=lambda run: run.at)
    seen: set[str] = set()
    further: list[float] = []
    for run in runs:
        if run.id in seen:
            further.append(run.at)
        seen.add(run.id)
    worst = (0.0, 0, 0.0)
    for end in further:
        count = sum(end - OVER + SLACK <= at <= end for at in further)
        taken = sum(end - OVER - SLACK <= call.at <= end for call in calls)
        allowed = FREE + RATIO * taken
        worst = max(worst, (count - allowed, count, allowed))
    if worst[0] > 0:
        world.breach(f"{worst[1]} further attempts within {OVER:g} s, where {worst[2]:.2f} are allowed")
    summary = (
        f"answers {dict(Counter(call.how for call in calls))}, further attempts {len(further)}, worst span {worst}"
    )
    world.note(summary)
    print(summary)


async def case(world: World) -> None:
    """Play the case."""
    tree = site.settings(Permissions__SecondCopies=True)
    tree["Obligations"] |= {"FreeResends": FREE, "RepeatRatio": RATIO, "CountedOver": int(OVER * 1e6)}
    engines = [await Engine(world, f"s-{number}").listen() for number in range(6)]
    resolver = await Resolver(world, lambda: engines).listen()
    port, config, operator = free_port(), world.place / "config.json", world.place / "operator.toml"
    operator.write_text(OPERATOR)
    site.write_config(config, "n1", (HOST, port), resolver.address, resolver.entries(), tree)
    process = world.start("n1", config, f" --operator {operator}")
    if not await wait_ready(world, port):
        raise CannotRunError(f"the coordinator is not ready: {world.log_tail('n1')}")
    calls, _ = await asyncio.gather(traffic(world, port), slow_engine(world, engines[0]))
    await settle(calls, 10)
    judge(world, engines, calls)
    process.terminate()
    await until(lambda: process.poll() is not None, 8)


if __name__ == "__main__":
    play(Path(__file__).parent, case)

"""Whether the usual clients get their answers while bad clients withdraw hundreds of requests at once."""

import asyncio
import random
from collections import Counter
from pathlib import Path

from review.stand_ins_2 import site
from review.stand_ins_2.clients import Call, Client, settle, wait_ready
from review.stand_ins_2.engines import Engine
from review.stand_ins_2.resolver import Resolver
from review.stand_ins_2.world import HOST, ROOT, CannotRunError, World, free_port, play, until

SECONDS = 28
BAD_FROM, BAD_SECONDS = 6, 12
BAD_PROCESSES, BAD_CONNECTIONS = 2, 50  # connections of each process
# Milliseconds that clients have left: the class's whole time, retries' rests, and very little.
BUDGETS = (3_000, 1_500, 500, 150)
SLACK = 0.55  # seconds: half a second, and the 50 ms of each time limit


async def traffic(world: World, port: int) -> list[Call]:
    """Send lookups at random times, some 30 a second; clients ask once and then hold their connection."""
    draws = random.Random(60)
    calls: list[Call] = []
    while world.now() < SECONDS:
        client = await Client(world, f"client-{len(calls)}", port).connect()
        statement = f"SELECT q{len(calls)} FROM trips_{len(calls) % 7}.docks /* ms=60 rows=3 */"
        calls.append(client.send("lookup", statement, draws.choice(BUDGETS)))
        await asyncio.sleep(draws.expovariate(30))
    return calls


async def bad_clients(world: World, port: int) -> None:
    """Let the bad clients loose for a while, from processes of their own."""
    await asyncio.sleep(BAD_FROM)
    if not world.trouble:
        return
    script = str(ROOT / "review" / "stand_ins_2" / "bad_withdrawals.py")
    words = (script, str(port), str(BAD_CONNECTIONS), str(BAD_SECONDS))
    started = [world.helper(*words) for _ in range(BAD_PROCESSES)]
    world.note(f"bad clients begin, on {BAD_PROCESSES * BAD_CONNECTIONS} connections")
    await until(lambda: all(process.poll() is not None for process in started), BAD_SECONDS + 25)
    for process in started:
        said = process.stdout.read().decode().strip() if process.stdout and process.poll() is not None else "?"
        world.note(f"bad clients are through: {said}")


def judge(world: World, calls: list[Call]) -> None:
    """Every request has to be answered within its time, up to half a second later."""
    late = [0.0]
    for call in calls:
        if not call.answers:
            world.breach(f"{call.rid} of budget {call.budget} ms was never answered")
            continue
        over = call.answered[0] - call.at - call.budget / 1000
        late.append(over)
        if over > SLACK:
            world.breach(f"{call.rid} of budget {call.budget} ms was answered ({call.how}) {over:.3f} s after its time")
    summary = f"answers {dict(Counter(call.how for call in calls))}, latest {max(late):.3f} s after its time"
    world.note(summary)
    print(f"{summary}, lost {len(world.broken)} of {len(calls)}")


async def case(world: World) -> None:
    """Play the case."""
    engines = [await Engine(world, f"s-{number}").listen() for number in range(6)]
    resolver = await Resolver(world, lambda: engines).listen()
    port, config = free_port(), world.place / "config.json"
    site.write_config(config, "n1", (HOST, port), resolver.address, resolver.entries(), site.settings())
    process = world.start("n1", config)
    if not await wait_ready(world, port):
        raise CannotRunError(f"the coordinator is not ready: {world.log_tail('n1')}")
    calls, _ = await asyncio.gather(traffic(world, port), bad_clients(world, port))
    await settle(calls, 15)
    judge(world, calls)
    process.terminate()
    await until(lambda: process.poll() is not None, 8)
    world.note(world.log_tail("n1", 1))


if __name__ == "__main__":
    play(Path(__file__).parent, case)

"""The parts of a rig put together: engines, resolver, switch and processes, from one plan."""

import shutil
import time
from collections.abc import Sequence
from pathlib import Path
from typing import Any

from rackhub.fleet.ports import Address
from rackhub.trials.processes import site
from rackhub.trials.processes.attempts import Attempts
from rackhub.trials.processes.calls import alive
from rackhub.trials.processes.clock import Monotonic, until
from rackhub.trials.processes.cores import Model
from rackhub.trials.processes.door import Door
from rackhub.trials.processes.engines import Engine
from rackhub.trials.processes.places import Places, text
from rackhub.trials.processes.processes import Process, Processes
from rackhub.trials.processes.resolver import Resolver
from rackhub.trials.processes.switch import Switch

READY = 60.0  # seconds for a process to serve: a bound for a machine that does ten things at once


class Rig:
    """A fleet on loopback. `up` returns when all gateways serve; `close` ends all that it started."""

    def __init__(self, plan: site.Plan, reactor: Any, place: Path | None = None):
        self.plan, self.reactor, self.clock = plan, reactor, Monotonic()
        self.places, self.processes = Places(), Processes(self.clock, place)
        self.attempts = Attempts(lambda call: reactor.callLater(0, call))
        self.wiped: dict[str, int] = dict.fromkeys(plan.gateway_names(), 0)  # how often its disk was taken away
        self.keys: dict[str, int] = {}  # loads done, by key, and when
        names = plan.gateway_names()
        binds = {name: self.places.free(self.places.host(10 + number), udp=True) for number, name in enumerate(names)}
        self.switch = Switch(reactor, self.clock, binds, plan.seed)
        self.gateways = {name: self._gateway(name, number, binds[name]) for number, name in enumerate(names)}
        self.doors = {
            name: Door(reactor, self.places.host(2), gateway.listen)
            for name, gateway in self.gateways.items()
            if f"@door:{name}@" in plan.operator_more
        }
        self.engines = {name: self._engine(name, number) for number, name in enumerate(plan.engine_names())}
        self.states: dict[str, str] = dict.fromkeys(self.engines, "ready")  # of engines, as the list has them
        self.since_ms: dict[str, int] = dict.fromkeys(self.engines, 0)
        self.resolver = Resolver(reactor, self.clock, plan.engine_names(), self._listed)

    def _gateway(self, name: str, number: int, bind: Address) -> site.Gateway:
        free, host = self.places.free, self.places.host(10 + number)
        return site.Gateway(
            name,
            number,
            self.plan.site_of(number),
            free(host),
            free(host),
            bind,
            self.switch.addresses[name],
            free(host),
            free(host, udp=True),
        )

    def _engine(self, name: str, number: int) -> Engine:
        plan = self.plan
        model = Model(
            cores=plan.cores,
            cold_from=plan.cold_from,
            ramp=plan.ramp,
            fall_multiple=plan.fall_multiple,
            fall=plan.fall,
            sessions=int(plan.cores * 8),
        )
        return Engine(
            name, plan.site_of(number), model, self.reactor, self.clock, self.attempts, self._told, plan.seed, self.keys
        )

    def _told(self, gateway: str, engine: str) -> int | None:
        return self.resolver.desks[gateway].told.get(engine)

    def _listed(self, gateway: str) -> Sequence[site.Engine]:
        return [
            site.Engine(name, engine.site, engine.addresses[gateway], self.states[name], self.since_ms[name])
            for name, engine in self.engines.items()
            if self.states[name] != "gone"
        ]

    # ---- up and down

    def up(self, wait: bool = True) -> None:
        self.nameservers = {name: self.resolver.listen(name, self.places.host(1)) for name in self.gateways}
        for number, engine in enumerate(self.engines.values()):
            for name in self.gateways:
                engine.listen(name, self.places.host(100 + number))
        self.resolver.changed()
        for name in self.gateways:
            self.processes.add(name)
            self.start(name)
        if wait:
            self.wait_ready(list(self.gateways))

    def start(self, name: str) -> Process:
        """Start this gateway under its name and addresses, with the list as it is now."""
        gateway, process, place = self.gateways[name], self.processes.by_name[name], self.processes.place
        rev, engines = self.resolver.start_of(name)
        config, operator = place / f"{name}.json", place / f"{name}.toml"
        config.write_bytes(
            site.configuration(self.plan, gateway, self.nameservers[name], site.known(rev, engines), process.boot + 1)
        )
        others = [other for other in self.gateways.values() if other is not gateway]
        state = place / f"{name}.state"
        if self.plan.fleet:
            state.mkdir(exist_ok=True)
        operator.write_text(self._placed(site.operator(self.plan, gateway, others, str(state))))
        process.start(["--config", str(config), "--operator", str(operator)])
        return process

    def _placed(self, told: str) -> str:
        """With `@g0@` as where clients reach g0, and `@door:g0@` as the door before it."""
        for name, gateway in self.gateways.items():
            told = told.replace(f"@{name}@", text(gateway.listen))
            if name in self.doors:
                told = told.replace(f"@door:{name}@", text(self.doors[name].address))
        return told

    def wait_ready(self, names: Sequence[str], seconds: float = READY) -> None:
        """Until each of them answers `alive` with pass; `NotSoon` or `RuntimeError` with its log else."""
        left = set(names)

        def ask(name: str) -> None:
            def heard(good: bool) -> None:
                if good:
                    left.discard(name)
                    self.processes.by_name[name].back()
                elif name in left and name in self.processes.by_name:
                    self.reactor.callLater(0.05, ask, name)

            if self.processes.by_name[name].running():
                alive(self.reactor, self.gateways[name].listen, heard)

        def all_ready() -> bool:
            for name in left:
                if not self.processes.by_name[name].running():
                    raise RuntimeError(f"{name} ended: {self.processes.by_name[name].said()[-1_000:]}")
            return not left

        for name in names:
            ask(name)
        until(self.reactor, all_ready, seconds, f"gateways that serve: {sorted(left)}")

    def close(self, keep: bool = False) -> None:
        self.processes.close(keep)
        for engine in self.engines.values():
            engine.close()
        self.resolver.close()
        self.switch.close()
        for door in self.doors.values():
            door.close()

    def __enter__(self) -> "Rig":
        return self

    def __exit__(self, *_: object) -> None:
        self.close()

    # ---- what a schedule does to gateways and engines

    def restart_when_ended(self, name: str, left: int = 400) -> None:
        """Start it once its last process is gone, then count it as back when it serves; one that is paused or does not
        end is killed in the end."""
        process = self.processes.by_name[name]
        if process.running() and process.told_to_end and left:
            self.reactor.callLater(0.05, self.restart_when_ended, name, left - 1)
            return
        process.kill()
        self.start(name)
        self._back_when_it_serves(name)

    def _back_when_it_serves(self, name: str) -> None:
        def heard(good: bool) -> None:
            process = self.processes.by_name[name]
            if good:
                process.back()
            elif process.running() and not process.paused:
                self.reactor.callLater(0.05, self._back_when_it_serves, name)

        alive(self.reactor, self.gateways[name].listen, heard)

    def wipe(self, name: str) -> None:
        """Its disk is empty from now on; only for one that is down."""
        if self.processes.by_name[name].running():
            raise RuntimeError(f"{name} runs: its disk can't be taken away")
        shutil.rmtree(self.processes.place / f"{name}.state", ignore_errors=True)
        self.wiped[name] += 1

    def engine_gone(self, name: str, told: bool = True) -> None:
        self.engines[name].die()
        if told:
            self.mark(name, "gone")

    def engine_back(self, name: str) -> None:
        self.engines[name].come_back()
        self.since_ms[name] = time.time_ns() // 1_000_000
        self.mark(name, "ready")

    def mark(self, name: str, state: str) -> None:
        """ready, draining or gone in the list from now on."""
        self.states[name] = state
        self.resolver.changed()

"""A hollow coordinator: the real watcher, link and members' core on real sockets, without requests and engines."""

from collections.abc import Callable

from rackhub.fleet.distribution.coordinator import UPSTREAM_MESSAGE_TYPES
from rackhub.fleet.distribution.core_runner import CoreRunner, Inbox
from rackhub.fleet.distribution.events import Applied, Apply, Effect, Persist, Persisted, RunCheck
from rackhub.fleet.distribution.messages import Checked
from rackhub.fleet.distribution.watcher import Watcher
from rackhub.trials.scale.cases import SLOW_DISK_SECONDS
from rackhub.trials.scale.layout import Place, scope_of
from rackhub.trials.scale.memory_disk import MemoryDisk
from rackhub.trials.scale.occupant import Occupant
from rackhub.trials.scale.station import Site, Station, Traffic
from rackhub.trials.scale.trace import Recorder, Trace

DISK = 2_000  # microseconds until a write is synced
SECOND = 1_000_000


class HollowCoordinator(Occupant):
    """One coordinator over all its restarts: the disk, the trace and the traffic so far outlive each process."""

    def __init__(self, site: Site, place: Place):
        self._site, self._place, self._scope = site, place, scope_of(place.zone)
        delay = int(SLOW_DISK_SECONDS * SECOND) if place.name in site.plan.slow else DISK
        self._disk = MemoryDisk(self._scope, delay)
        self._recorder = Recorder(place.name, place.zone, self._scope)
        self._boot = site.begin.boot
        self._earlier = Traffic(0, 0, 0)
        self._earlier_counts: dict[str, int] = {}
        self._process: HollowProcess | None = None

    def start(self) -> None:
        self._process = HollowProcess(self._site, self._place, self._boot, self._disk, self._recorder)
        self._process.start()

    def restart(self, down: float, done: Callable[[int, int], None]) -> None:
        """The process ends at once, and another begins after so many seconds; `done` gets both times."""
        process, began = self._process, self._site.clock.now()
        if process is None:
            return
        self._process = None
        self._earlier, self._earlier_counts = self.traffic_of(process), self._counts_of(process)
        process.stop()
        self._boot += 1
        self._recorder.trace.restarts += 1

        def begin() -> None:
            self.start()
            done(began, self._site.clock.now())

        self._site.reactor.callLater(down, begin)

    def revision(self) -> int:
        return self._process.watcher.revision if self._process is not None else 0

    def traffic(self) -> Traffic:
        return self._earlier if self._process is None else self.traffic_of(self._process)

    def traffic_of(self, process: "HollowProcess") -> Traffic:
        return Traffic(*map(sum, zip(self._earlier, process.station.traffic(), strict=True)))

    def counts(self) -> dict[str, int]:
        return self._earlier_counts if self._process is None else self._counts_of(self._process)

    def _counts_of(self, process: "HollowProcess") -> dict[str, int]:
        counts = dict(self._earlier_counts)
        for name, count in process.station.link.association.counts.items():
            counts[f"coordinator_{name}"] = counts.get(f"coordinator_{name}", 0) + count
        return counts

    def traces(self) -> list[Trace]:
        return [self._recorder.finish()]


class HollowProcess:
    """What would be one process of a real coordinator."""

    def __init__(self, site: Site, place: Place, boot: int, disk: MemoryDisk, recorder: Recorder):
        self._site, self._place, self._disk, self._recorder = site, place, disk, recorder
        self.station = Station(site, place, site.layout.relays, boot)
        identity = site.identity(place, boot)
        self.watcher = Watcher(identity, disk.held(), site.plan.limits, site.clock.now())
        self._inbox = Inbox(self.station.fleet)
        self._runner = CoreRunner(self.station.fleet, self._inbox, self.watcher, self._perform)
        self._inbox.route(UPSTREAM_MESSAGE_TYPES, self._runner.on_message)
        self._ended = False

    def start(self) -> None:
        self.station.start()
        self._inbox.start()
        self._runner.start()

    def stop(self) -> None:
        self._ended = True
        self._runner.stop()
        self.station.stop()

    def _perform(self, effect: Effect) -> None:
        match effect:
            case Persist():
                self._site.later(self._disk.delay, lambda: self._synced(effect))
            case Apply(revision=revision):
                self._recorder.apply(self._site.clock.now(), effect)
                self._runner.dispatch(Applied(revision))
            case RunCheck(to, mark):
                self._inbox.send(to, Checked(mark, self._place.zone))

    def _synced(self, persist: Persist) -> None:
        """A write that a process did not live to see synced is lost."""
        if not self._ended:
            self._disk.write(persist)
            self._runner.dispatch(Persisted(persist.revision))

"""Engine selection: filters, then smooth weighted round robin. All times are microseconds."""

import math
import operator
import zlib
from collections.abc import Sequence

from rackhub.interface import Idempotency
from rackhub.policy.context import RouterContext
from rackhub.policy.load import LoadEstimator
from rackhub.policy.slow_start import SlowStart
from rackhub.policy.state import QueryState
from rackhub.policy.statistics import SECOND, TICK_INTERVAL, EngineState

FAILURE_PENALTY = 3  # reduction of the weight by a failure rate of 1, in log units
MAX_LOW_LOAD_BONUS = 0.3  # maximum increase of the weight by a load below the fleet's mean, in log units
FAILURE_DECAY_TIME = 16 * SECOND  # decay time of the failure rate in an engine's weight
LOAD_DECAY_TIME = 8 * SECOND  # decay time of the load in an engine's weight
GATEWAYS_PER_ENGINE = 60  # gateways that use one engine in a large fleet, where each uses a subset of the engines
LOCKING_FRACTION = 2 / 3  # fraction of the engines that queries which lock tables may use
THREADS_TOLERANCE = 0.25  # threads per core that an engine may have above the mean
HASH_MULTIPLIER = 0x9E3779B1  # spreads the checksums of similar names over 32 bits
SCOPE_DEPTHS = {"all": 0, "zone": 1}  # number of elements of (zone, cell) that must match; 2 for any other scope
ROTATION_CREDIT = operator.attrgetter("rotation_credit")


class EngineSelector:
    """Chooses engines. A filter that is not mandatory applies only if it leaves at least one engine."""

    def __init__(self, context: RouterContext, load: LoadEstimator, slow_start: SlowStart) -> None:
        self.context = context
        self.load = load
        self.slow_start = slow_start
        self.subset: set[str] = set()  # names of the engines that this gateway uses

    def update_subset(self) -> None:
        """Recompute the subset: the first ready engines in the hash order of this gateway."""
        settings = self.context.settings
        ready = sorted(
            (name for name, engine in self.context.engines.items() if engine.ready),
            key=lambda name: hash_name(f"{settings.instance_index} {name}"),
        )
        size = max(round(len(ready) * min(GATEWAYS_PER_ENGINE / settings.gateways, 1)), 1)
        self.subset = set(ready[:size])
        self.slow_start.subset_fraction = len(self.subset) / max(len(ready), 1)

    def choose(self, query: QueryState, excluded: Sequence[EngineState] = ()) -> EngineState | None:
        """Return the engine for the query's next attempt, or None if no engine may execute it."""
        engines = self._candidates(query, excluded)
        engines = self._without_table_conflicts(query, engines)
        mean_threads = sum([engine.threads for engine in engines]) / max(sum([engine.cores for engine in engines]), 1)
        limit = mean_threads + THREADS_TOLERANCE
        engines = [engine for engine in engines if engine.threads <= limit * engine.cores] or engines
        chosen = rotate(engines, self._weights(engines))
        now = self.context.now
        warm_up = self.context.settings.slow_start_duration
        if not chosen or now - chosen.started_at >= warm_up:
            return chosen
        warming = [engine for engine in engines if now - engine.started_at < warm_up]
        drawn = self.slow_start.draw(query, [engine for engine in warming if engine.id in self.subset])
        return drawn or self.choose(query, (*excluded, *warming))

    def weight(self, engine: EngineState) -> float:
        """Return the weight of one engine. It is recomputed after each observation and periodically."""
        return self._weights([engine])[0]

    def _weights(self, engines: list[EngineState]) -> list[float]:
        """Return the weights of the engines. One loop for speed, as it runs over the whole fleet for each attempt."""
        now = self.context.now
        expired = now - TICK_INTERVAL
        for engine in engines:
            weight_updated_at = engine.weight_updated_at
            if (
                weight_updated_at <= expired
                or weight_updated_at <= engine.failure_rate.updated_at
                or weight_updated_at <= engine.load_excess.updated_at
            ):
                engine.weight = self._compute_weight(engine)
                engine.weight_updated_at = now
        return [engine.weight for engine in engines]

    def _compute_weight(self, engine: EngineState) -> float:
        """Return the cores that are warmed up, reduced for failures and for load above the fleet's mean."""
        now = self.context.now
        penalty = FAILURE_PENALTY * engine.failure_rate.value
        penalty *= math.exp((engine.failure_rate.updated_at - now) / FAILURE_DECAY_TIME)
        excess = max(engine.load_excess.value - self.load.mean_excess, -MAX_LOW_LOAD_BONUS)
        penalty += excess * math.exp((engine.load_excess.updated_at - now) / LOAD_DECAY_TIME)
        return engine.cores * self.slow_start.capacity(engine) * math.exp(-penalty)

    def _candidates(self, query: QueryState, excluded: Sequence[EngineState]) -> list[EngineState]:
        """Return the engines that may execute the query; ejected and attempted ones only if no others remain."""
        now = self.context.now
        settings = query.statistics.settings
        reserved = self.context.allocation.reserved_engines
        engines = list(self.context.engines.values())
        if settings.allowed_zones or settings.allowed_engine_kinds or query.possibly_executed or query.event.zones:
            engines = [engine for engine in engines if self._is_allowed(query, engine)]
        else:  # The common case, handled without a call per engine.
            engines = [engine for engine in engines if engine.ready]
        if excluded or reserved:
            engines = [engine for engine in engines if engine not in excluded and engine.id not in reserved]
        engines = [engine for engine in engines if now >= engine.ejected_until] or engines
        if query.engines_attempted:
            engines = [engine for engine in engines if engine.id not in query.engines_attempted] or engines
        return [engine for engine in engines if engine.id in self.subset] or engines

    def _is_allowed(self, query: QueryState, engine: EngineState) -> bool:
        """Apply the mandatory filters: readiness, placement and the scope of idempotency keys."""
        settings = query.statistics.settings
        if not engine.ready:
            return False
        if settings.allowed_zones and engine.zone not in settings.allowed_zones:
            return False
        if query.event.zones and engine.zone not in query.event.zones:
            return False
        if settings.allowed_engine_kinds and engine.kind not in settings.allowed_engine_kinds:
            return False
        if settings.idempotency != Idempotency.IDEMPOTENCY_KEY or not query.possibly_executed:
            return True
        first = query.possibly_executed[0].placement
        depth = SCOPE_DEPTHS.get(settings.idempotency_scope, 2)
        if depth > 0 and first.zone != engine.placement.zone:
            return False
        return depth <= 1 or first.cell == engine.placement.cell

    def _without_table_conflicts(self, query: QueryState, engines: list[EngineState]) -> list[EngineState]:
        """Keep queries that lock tables apart from queries that wait for such locks.

        All gateways use one hash to send the locking queries of a table group to the same engines, so that queries
        which wait for the locks have other engines.
        """
        settings = query.statistics.settings
        tables = query.event.tables
        now = self.context.now
        if settings.locks_tables:
            names = sorted(self.context.engines, key=lambda name: hash_name(f"{tables} {name}"))
            names = names[: max(round(len(names) * LOCKING_FRACTION), 1)]
            engines = [engine for engine in engines if engine.id in names] or engines
        if not settings.blocked_by_table_locks and not settings.locks_tables:
            return engines
        unlocked = [
            engine
            for engine in engines
            if not engine.running_loads.get(tables) and engine.locked_until.get(tables, now) <= now
        ]
        if unlocked:
            return unlocked
        queue_time = 0.0  # expected wait per running load; each local load stands for one load of every gateway
        if settings.locks_tables and query.statistics.responses:
            queue_time = query.statistics.mean_latency * self.context.settings.gateways
        maximum = settings.latency_objective or settings.deadline
        return [engine for engine in engines if engine.running_loads.get(tables, 0) * queue_time <= maximum]


def hash_name(text: str) -> int:
    """Return a 32-bit hash that is the same in all processes."""
    return zlib.crc32(text.encode()) * HASH_MULTIPLIER % 2**32


def rotate(engines: list[EngineState], weights: list[float]) -> EngineState | None:
    """Return the next engine by smooth weighted round robin, or None if there are no engines."""
    for engine, weight in zip(engines, weights, strict=True):
        engine.rotation_credit += weight
    best = max(engines, key=ROTATION_CREDIT, default=None)
    if best:
        best.rotation_credit -= sum(weights)
    return best

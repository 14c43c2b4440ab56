"""Threads and memory used by this gateway's attempts: in total, per engine and per tenant."""

from rackhub.policy.state import AttemptState
from rackhub.policy.statistics import EngineState


class ResourceUsage:
    """Counts the resources of the attempts in flight. Memory is in MB."""

    def __init__(self) -> None:
        self.threads = 0
        self.running_attempts = 0
        self.peak_threads = 0  # maximum since the last periodic update
        self.granted_memory_mb = 0.0

    def add(self, attempt: AttemptState) -> None:
        """Count an attempt that is being sent."""
        self._count(attempt, 1)

    def remove(self, attempt: AttemptState) -> None:
        """Stop counting an attempt that has ended."""
        self._count(attempt, -1)

    def release(self, attempt: AttemptState) -> None:
        """Stop counting an attempt that has not ended but no longer uses resources."""
        self._count(attempt, -1)
        attempt.threads = 0
        attempt.memory_mb = 0

    def _count(self, attempt: AttemptState, sign: int) -> None:
        query = attempt.query
        engine = attempt.engine
        threads = sign * attempt.threads
        engine.threads += threads
        self.threads += threads
        self.running_attempts += sign * (attempt.threads > 0)
        self.peak_threads = max(self.peak_threads, self.threads)
        self.granted_memory_mb += sign * attempt.memory_mb
        query.tenant.threads += threads
        if query.statistics.settings.locks_tables and attempt.threads:
            self._count_load(engine, query.event.tables, sign)

    @staticmethod
    def _count_load(engine: EngineState, tables: int | None, sign: int) -> None:
        """Count a running load of a table group; a group without one has no entry, as clients name the groups."""
        loads = engine.running_loads.get(tables, 0) + sign
        if loads:
            engine.running_loads[tables] = loads
        else:
            del engine.running_loads[tables]

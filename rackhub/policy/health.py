"""Health checks of engines, by this gateway and, through gossip, by others. All times are microseconds."""

import math
import zlib

from rackhub import interface
from rackhub.interface import Outcome
from rackhub.policy.context import RouterContext
from rackhub.policy.load import OVERLOAD_LATENCY_RATIO, Evidence, LoadEstimator
from rackhub.policy.outliers import OutlierDetector

CHECKS_PER_QUERY = 0.4  # health checks that this gateway sends per query received
QUEUED_CHECK_RATIO = 2  # ratio to the best check time above which checks must be waiting in the engine's queue
NO_RESPONSE_EXCESS = 4  # excess from which a check counts as unanswered
NO_RESPONSE_LOAD = 1.0  # excess that an unanswered check counts as evidence of load
MIN_GOSSIP_EXCESS = -1  # lowest excess that a gossip message can hold

# A gossip message is the CRC-32 of the engine's name and one byte for the excess: 50 means 0, and 100 means 1.
CHECKSUM_BYTES = 4
EXCESS_SCALE = 50
EXCESS_OFFSET = 50
MESSAGE_BYTES = CHECKSUM_BYTES + 1


class HealthMonitor:
    """Sends health checks, and records their results as evidence of load and of failures."""

    def __init__(self, context: RouterContext, load: LoadEstimator, outliers: OutlierDetector) -> None:
        self.context = context
        self.load = load
        self.outliers = outliers
        self.check_credit = 0.0
        self.checks_are_queued = False  # True once checks have waited behind queries, so that their time shows the load
        self.names_by_checksum: dict[int, str] = {}

    def update_names(self) -> None:
        """Recompute the checksums that identify engines in gossip messages."""
        self.names_by_checksum = {zlib.crc32(name.encode()): name for name in self.context.engines}

    def record_query(self) -> None:
        """Add the credit for health checks that one query earns.

        The checks are in proportion to this gateway's own traffic: if each of many gateways checked all engines, the
        checks would overload them.
        """
        self.check_credit += CHECKS_PER_QUERY

    def send_checks(self) -> None:
        """Send health checks to the engines that the fleet assigns, or to a random sample."""
        context = self.context
        if context.settings.health_checks:
            ready = [engine.id for engine in context.engines.values() if engine.ready]
            sample = context.random.sample(ready, min(int(self.check_credit), len(ready)))
            targets = context.allocation.health_check_targets
            context.actions += [interface.CheckHealth(name) for name in (sample if targets is None else targets)]
        self.check_credit %= 1

    def on_health_check(self, event: interface.HealthCheckCompleted) -> None:
        """Record the result of a health check.

        A check that waits in the engine's queue like a query shows the load without the variance of a query's work.
        """
        engine = self.context.engines.get(event.engine)
        self.load.record_report(engine, event.report)
        if engine is None:
            return
        # Compared with the engine's own best, because the network latency to other zones is higher.
        engine.best_health_check_time = min(engine.best_health_check_time, event.elapsed)
        best = engine.best_health_check_time
        self.checks_are_queued = self.checks_are_queued or event.elapsed > QUEUED_CHECK_RATIO * best
        succeeded = event.outcome == Outcome.SUCCESS
        if succeeded:
            engine.last_response_at = self.context.now
            engine.relative_response_time = event.elapsed / max(best, 1)
        if succeeded and self.checks_are_queued and best:
            excess = math.log(event.elapsed / best / OVERLOAD_LATENCY_RATIO)
        elif event.outcome in (Outcome.TIMED_OUT, Outcome.CONNECT_FAILED) and not self.context.stalled:
            excess = math.inf
        else:
            return
        self._record(event.engine, excess, counts_for_engine=not event.report)
        self._send_gossip(event.engine, excess)

    def on_gossip(self, event: interface.GossipReceived) -> None:
        """Record a result of another gateway. Results are only sent where engines do not report their load."""
        contents = event.contents
        name = self.names_by_checksum.get(int.from_bytes(contents[:CHECKSUM_BYTES], "big"))
        if name and len(contents) == MESSAGE_BYTES:
            excess = (contents[CHECKSUM_BYTES] - EXCESS_OFFSET) / EXCESS_SCALE
            self._record(name, excess, counts_for_engine=True)

    def _record(self, name: str, excess: float, counts_for_engine: bool) -> None:
        """Record a check as evidence of load; if unanswered, also as a failure, even before any query is overdue."""
        engine = self.context.engines.get(name)
        no_response = excess >= NO_RESPONSE_EXCESS
        self.load.add_evidence(Evidence.HEALTH_CHECK, NO_RESPONSE_LOAD if no_response else excess)
        if engine and no_response:
            self.outliers.record_failure(engine)
        if engine and counts_for_engine and not no_response:
            engine.load_excess.add(self.context.now, excess)

    def _send_gossip(self, name: str, excess: float) -> None:
        """Send a result to as many gateways as there are engines.

        For each check that it sends itself, a gateway thus receives, on average, one result for every engine.
        """
        settings = self.context.settings
        if not settings.gossip or settings.load_report_source != "silent":
            return
        level = int(min(max(excess, MIN_GOSSIP_EXCESS), NO_RESPONSE_EXCESS) * EXCESS_SCALE) + EXCESS_OFFSET
        message = zlib.crc32(name.encode()).to_bytes(CHECKSUM_BYTES, "big") + bytes([level])
        count = min(len(self.context.engines), settings.gateways)
        peers = self.context.random.sample(range(settings.gateways), count)
        self.context.actions += [
            interface.SendGossip(peer, message) for peer in peers if peer != settings.instance_index
        ]

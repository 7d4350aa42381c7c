"""The configuration and the endpoints as last read from the platform's store."""

from collections.abc import Callable
from logging import getLogger
from random import Random

from umberhitch.core.direct import (
    Directory,
    Document,
    Endpoint,
    EndpointEntry,
    RolloutOrder,
    RouteTable,
    StoreEpoch,
    ZoneOut,
    offset_of,
)
from umberhitch.ports.clock import Clock
from umberhitch.ports.direct import FeedBatch, FeedPort, OperatorValue
from umberhitch.tasks.direct.canary_controller import CanaryController
from umberhitch.tasks.direct.feeds import Feed, FeedTiming
from umberhitch.tasks.direct.stall_watch import StallWatch

__all__ = ["StoreView"]

log = getLogger(__name__)

OUTDATED_AFTER_S = 0.5
"""A configuration that is at a peer for so long should be here too: a change takes some 0.05 s."""
STARTING_S = 2.0
"""A router that started so recently does not wait for that: it may have read an older copy."""
OUTDATED_S = 5.0
"""Seconds for which a configuration that only peers have keeps this router from serving."""
COPY_COMPLETE_S = 2.5
"""Seconds after a return within which the store has all that was lost once more: the platform says
2 s for entries. With reads up to 1.85 s before it, the proof of a router that missed nothing is
still young enough then."""
SWEEP_INTERVAL_S = 0.25
"""Interval at which entries that lapsed and did not return are removed."""


class StoreView:
    """Owns the feeds, the configuration in force and the directory of endpoints.

    Parameters
    ----------
    clock : Clock
    rng : Random
    operator_port : FeedPort
    registry_port : FeedPort
    operator_timing : FeedTiming
    endpoint_timing : FeedTiming
    canary_controller : CanaryController
        Receives the roll-out orders.
    on_endpoints_changed : callable
        Called with the addresses of the endpoints that were removed, also where endpoints were
        only added.
    on_restarted : callable
        Called with the previous lifetime of an endpoint that restarted.
    directory : Directory
        Updated from the registry.
    epochs : StoreEpoch
        The epoch of the store.
    """

    def __init__(
        self,
        clock: Clock,
        rng: Random,
        operator_port: FeedPort[OperatorValue],
        registry_port: FeedPort[EndpointEntry],
        operator_timing: FeedTiming,
        endpoint_timing: FeedTiming,
        canary_controller: CanaryController,
        on_endpoints_changed: Callable[[list[str]], None],
        on_restarted: Callable[[Endpoint], None],
        directory: Directory,
        epochs: StoreEpoch,
    ) -> None:
        self.clock = clock
        self.epochs = epochs
        epochs.on_change.append(self._on_epoch)
        self.directory = directory
        self.canary_controller = canary_controller
        self.table: RouteTable | None = None
        self._on_endpoints_changed = on_endpoints_changed
        self._on_restarted = on_restarted
        self._zones_out: dict[str, str] = {}
        """Zones out of service, by the key of the record that removed them."""
        self._is_stopped = False
        self._started_s = float("-inf")
        self._proved_before_return_s = float("inf")
        self._complete_from_s = float("-inf")
        """Time from which the store's copy has all that was written before its return."""
        self._peers_configuration = 0
        self._outdated_since_s: float | None = None
        """Time since which a peer has had a newer configuration in force."""
        self.operator_feed: Feed[OperatorValue] = Feed(
            "operator",
            operator_port,
            clock,
            rng,
            operator_timing,
            self._apply_order_snapshot,
            self._apply_orders,
        )
        self.registry_feed: Feed[EndpointEntry] = Feed(
            "registry",
            registry_port,
            clock,
            rng,
            endpoint_timing,
            self._apply_endpoint_snapshot,
            self._apply_endpoints,
        )
        self.stalls = StallWatch(clock, self.registry_feed)

    def start(self) -> None:
        """Start to follow the store."""
        self._started_s = self.clock.seconds()
        self.operator_feed.start()
        self.registry_feed.start()
        self._sweep()

    def stop(self) -> None:
        """Stop following the store."""
        self._is_stopped = True
        self.operator_feed.stop()
        self.registry_feed.stop()

    def _on_epoch(self, before: int, epoch: int) -> None:
        """Take note that the store has returned from another copy, which has to be read."""
        now_s = self.clock.seconds()
        if self.operator_feed.proved_s is not None:
            if now_s >= self._complete_from_s:
                self._proved_before_return_s = self.operator_feed.proved_s
            self._complete_from_s = now_s + COPY_COMPLETE_S
        for feed in (self.operator_feed, self.registry_feed):
            age_s = None if feed.proved_s is None else round(now_s - feed.proved_s, 3)
            facts = {"feed": feed.name, "offset": offset_of(feed.position), "age_s": age_s}
            log.warning("store returned", extra={"before": before, "epoch": epoch, **facts})
            feed.mark_behind()

    def _sweep(self) -> None:
        if self._is_stopped:
            return
        self.stalls.check()
        ended = self.directory.sweep(self.clock.seconds())
        if ended:
            self._on_endpoints_changed([endpoint.entry.address for endpoint in ended])
        self.clock.callLater(SWEEP_INTERVAL_S, self._sweep)

    @property
    def is_loaded(self) -> bool:
        """Whether a configuration and a directory are loaded."""
        return self.table is not None and self.directory.is_loaded

    @property
    def is_store_unavailable(self) -> bool:
        """Whether the last call to the store failed."""
        return self.operator_feed.is_failing or self.registry_feed.is_failing

    def proof_age_s(self, at_s: float) -> float:
        """Return the age, at a given time, of the proof that the configuration is the newest.

        A copy that the store has returned from may lack a configuration that this router never
        read. Until it must have been written again, only reads before the return are a proof.
        """
        proved_s = self.operator_feed.proved_s
        if proved_s is None:
            return float("inf")
        if self.clock.seconds() < self._complete_from_s:
            proved_s = min(proved_s, self._proved_before_return_s)
        return at_s - proved_s

    def behind_s(self) -> float:
        """Return how long a newer configuration has been known without being in force here.

        The result is 0 while the store is unavailable: its contents cannot be read, and no new
        configuration is confirmed.
        """
        since_s = self.operator_feed.behind_since_s
        if since_s is None or self.operator_feed.is_failing:
            return 0.0
        return self.clock.seconds() - since_s

    def configuration(self) -> int:
        """Return the number of the configuration in force, 0 if there is none."""
        return 0 if self.table is None else self.table.document.number

    def note_peers_configuration(self, number: int) -> None:
        """Take note of the newest configuration that is in force at a peer."""
        self._peers_configuration = number
        if number <= self.configuration():
            self._outdated_since_s = None
        elif self._outdated_since_s is None:
            self._outdated_since_s = self.clock.seconds()

    def is_outdated(self) -> bool:
        """Whether peers have a newer configuration than this router, though it has read the store.

        That is so when it has started after the store returned from an older copy. If operators do
        not write the newer one again, this router uses the one in the store after a while.
        """
        since_s = self._outdated_since_s
        if since_s is None or self.configuration() >= self._peers_configuration:
            return False
        if self.operator_feed.behind_since_s is not None:
            return False
        now_s = self.clock.seconds()
        has_just_started = now_s < self._started_s + STARTING_S
        after_s = 0.0 if has_just_started else OUTDATED_AFTER_S
        return after_s <= now_s - since_s < OUTDATED_S

    def registry_age_s(self) -> float | None:
        """Return the age of the directory, or None if it has not been loaded."""
        proved_s = self.registry_feed.proved_s
        return None if proved_s is None else round(self.clock.seconds() - proved_s, 3)

    def _apply_order_snapshot(self, batch: FeedBatch[OperatorValue]) -> None:
        self._apply_orders(batch, False)
        present = {record.key for record in batch.records if record.value is not None}
        for key in self._zones_out.keys() - present:
            self._restore_zone(key)
        self.canary_controller.retain(
            [r.value for r in batch.records if isinstance(r.value, RolloutOrder)]
        )

    def _apply_orders(self, batch: FeedBatch[OperatorValue], is_after_outage: bool) -> None:
        for record in batch.records:
            match record.value:
                case Document():
                    self._apply_document(record.value, batch)
                case RolloutOrder():
                    self.canary_controller.apply_order(record.value)
                case ZoneOut():
                    self._remove_zone(record.key, record.value.zone)
                case None if record.key.startswith("rollout/"):
                    self.canary_controller.drop(record.key.removeprefix("rollout/"))
                case None if record.key in self._zones_out:
                    self._restore_zone(record.key)

    def _remove_zone(self, key: str, zone: str) -> None:
        self._zones_out[key] = zone
        if self.directory.disable_zone(zone, self.clock.seconds()):
            log.info("zone out of service", extra={"zone": zone})

    def _restore_zone(self, key: str) -> None:
        zone = self._zones_out.pop(key)
        if self.directory.enable_zone(zone, self.clock.seconds()):
            log.info("zone back in service", extra={"zone": zone})

    def _apply_document(self, document: Document, batch: FeedBatch[OperatorValue]) -> None:
        if self.table is not None and document.number <= self.table.document.number:
            return
        self.table = RouteTable(document)
        services = document.services.values()
        self.directory.set_cold_starts({s.name: s.cold_start_s for s in services if s.cold_rate})
        facts: dict[str, object] = {"number": document.number, "routes": len(document.routes)}
        facts |= {"source": batch.source, "offset": offset_of(batch.end)}
        log.info("configuration in force", extra=facts)

    def _apply_endpoint_snapshot(self, batch: FeedBatch[EndpointEntry]) -> None:
        present = {record.key for record in batch.records if record.value is not None}
        now_s = self.clock.seconds()
        for incarnation in self.directory.incarnations():
            if incarnation not in present:
                self.directory.lapse(incarnation, now_s, self._last_read_s(batch))
        self._apply_endpoints(batch, True)
        self.directory.is_loaded = True

    def _last_read_s(self, batch: FeedBatch[EndpointEntry]) -> float | None:
        """Return when the entries that a batch lacks were last read; None in a new epoch.

        Then they are missing because the store's copy is older, not because they were removed.
        """
        is_new_epoch = self.registry_feed.is_new_epoch(batch)
        return None if is_new_epoch else self.registry_feed.proved_s

    def _apply_endpoints(self, batch: FeedBatch[EndpointEntry], is_after_outage: bool) -> None:
        removed: list[str] = []
        now_s = self.clock.seconds()
        for record in batch.records:
            known = self.directory.get(record.key)
            if record.value is not None:
                ended = self.directory.put(record.value, now_s)
                if ended is not None:
                    log.info("endpoint started again", extra={"endpoint": ended.lifetime})
                    removed.append(ended.entry.address)
                    self._on_restarted(ended)
            elif is_after_outage:
                self.directory.lapse(record.key, now_s, self._last_read_s(batch))
            elif known is not None:
                removed.append(known.entry.address)
                self.directory.drop(record.key)
        self._on_endpoints_changed(removed)

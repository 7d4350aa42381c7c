"""Loading of model versions at an agent, by order of the router that holds the lease."""

from collections.abc import Callable

from umberhitch.core.fencing import Fence
from umberhitch.ports import BackendPort, Clock
from umberhitch.wire import LoadOrder, LoadOrderReply

__all__ = ["TargetLoader"]


class TargetLoader:
    """Holds the targets that an endpoint serves and the load order in progress.

    Parameters
    ----------
    backend : BackendPort
    clock : Clock
    targets : tuple of str
        Targets that the endpoint serves at the start.
    warm_up_s : float
        Seconds for which a new agent learns fencing tokens before it accepts orders.
    on_change : callable
        Called when the served targets change or a load order is accepted.
    """

    def __init__(
        self,
        backend: BackendPort,
        clock: Clock,
        targets: tuple[str, ...],
        warm_up_s: float,
        on_change: Callable[[], None],
    ) -> None:
        self.targets = targets
        self.fence = Fence(clock.seconds() + warm_up_s)
        self._backend = backend
        self._clock = clock
        self._on_change = on_change
        self._previous_targets = targets
        self._order: LoadOrder | None = None
        self._has_started = False

    @property
    def is_loading(self) -> bool:
        """Whether a load order is pending or running."""
        return self._order is not None

    def accept_order(self, order: LoadOrder) -> LoadOrderReply:
        """Accept an order unless its fencing token is old; `start_if_idle` carries it out."""
        if not self.fence.admits(order.token, self._clock.seconds()):
            return LoadOrderReply(order.order_id, False, "old fencing token")
        if self._order is None and self.targets != (order.target,):
            self._order = order
            self._has_started = False
            self._on_change()
        return LoadOrderReply(order.order_id, True)

    def start_if_idle(self, running: int) -> None:
        """Start the pending load once no attempt is running."""
        order = self._order
        if order is None or self._has_started or running:
            return
        self._has_started = True
        self._previous_targets, self.targets = self.targets, ()
        self._backend.load(order.target, order.token).addCallback(self._on_loaded, order)

    def _on_loaded(self, is_loaded: bool, order: LoadOrder) -> None:
        self._order = None
        self.targets = (order.target,) if is_loaded else self._previous_targets
        self._on_change()

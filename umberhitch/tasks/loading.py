"""Orders at an agent: which are obeyed, and what the endpoint serves meanwhile."""

from collections.abc import Callable

from umberhitch.core.fencing import Fence
from umberhitch.ports import BackendPort, Clock
from umberhitch.wire import LoadOrder, LoadOrderReply

__all__ = ["TargetLoader"]


class TargetLoader:
    """Owns what an endpoint serves, and the order that is changing it.

    Parameters
    ----------
    backend : BackendPort
    clock : Clock
    targets : tuple of str
        What the endpoint serves at the start.
    warm_up_s : float
        How long a new agent listens for fencing tokens before it obeys.
    on_change : callable
        Called when what is served changes, or is about to.
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
        self._before = targets
        self._order: LoadOrder | None = None
        self._has_begun = False

    @property
    def is_loading(self) -> bool:
        """Whether a version is about to be loaded, or is being loaded."""
        return self._order is not None

    def accept_order(self, order: LoadOrder) -> LoadOrderReply:
        """Accept an order, unless its sender's lease has passed on; see `begin_if_idle`."""
        if not self.fence.admits(order.token, self._clock.seconds()):
            return LoadOrderReply(order.order_id, False, "old fencing token")
        if self._order is None and self.targets != (order.target,):
            self._order = order
            self._has_begun = False
            self._on_change()
        return LoadOrderReply(order.order_id, True)

    def start_if_idle(self, running: int) -> None:
        """Have the engine load, once nothing runs on what it serves."""
        order = self._order
        if order is None or self._has_begun or running:
            return
        self._has_begun = True
        self._before, self.targets = self.targets, ()
        self._backend.load(order.target, order.token).addCallback(self._on_loaded, order)

    def _on_loaded(self, is_done: bool, order: LoadOrder) -> None:
        self._order = None
        self.targets = (order.target,) if is_done else self._before
        self._on_change()

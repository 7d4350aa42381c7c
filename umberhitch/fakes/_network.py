"""A network in memory: links between processes, with faults, on any clock."""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from umberhitch.ports import Clock, Receiver
from umberhitch.wire import Message, decode_frame, encode_frame

MessageTest = Callable[[str, str, Message], bool]

__all__ = ["FakeLink", "FakeNetwork", "NetworkFaults"]


@dataclass
class NetworkFaults:
    """What is wrong with the network at the moment; fractions are of messages."""

    drop: float = 0.0
    repeat: float = 0.0
    late: float = 0.0
    late_s: float = 0.5


class FakeNetwork:
    """Carries messages between the links of many processes.

    Every message goes through the real codec.

    Parameters
    ----------
    clock : Clock
    rng : Random
    delay_s : float
        Time of one hop.

    Attributes
    ----------
    links : dict of str to FakeLink
        By process.
    """

    def __init__(self, clock: Clock, rng: Random, delay_s: float = 0.001) -> None:
        self.faults = NetworkFaults()
        self.messages = 0
        self.bytes = 0
        self._clock = clock
        self._rng = rng
        self._delay_s = delay_s
        self.links: dict[str, FakeLink] = {}
        self._cuts: set[frozenset[str]] = set()
        self._filters: list[MessageTest] = []
        self._holds: list[MessageTest] = []
        self._held: list[tuple[str, bytes]] = []

    def link(self, name: str) -> "FakeLink":
        """Return a new link for a process; it replaces the one of that name."""
        link = FakeLink(name, self)
        self.links[name] = link
        return link

    def unplug(self, name: str) -> None:
        """Remove a process from the network."""
        self.links.pop(name, None)

    def cut(self, one: str, other: str) -> None:
        """Let nothing pass between two processes."""
        self._cuts.add(frozenset((one, other)))

    def mend(self, one: str, other: str) -> None:
        """Undo a cut."""
        self._cuts.discard(frozenset((one, other)))

    def mend_all(self) -> None:
        """Undo every cut and fault."""
        self._cuts.clear()
        self._filters.clear()
        self.release()
        self.faults = NetworkFaults()

    def drop_where(self, predicate: MessageTest) -> None:
        """Drop the messages for which the predicate (sender, receiver, message) holds."""
        self._filters.append(predicate)

    def hold_where(self, predicate: MessageTest) -> None:
        """Keep the messages for which the predicate holds on their way until `release`."""
        self._holds.append(predicate)

    def release(self) -> None:
        """Deliver what was held, and hold nothing more."""
        self._holds.clear()
        held, self._held = self._held, []
        for receiver, frame in held:
            self._clock.callLater(self._delay_s, self._deliver, receiver, frame)

    def carry(self, sender: "FakeLink", receiver: str, message: Message) -> None:
        """Take a message on its way, subject to the faults."""
        self.messages += 1
        if self.links.get(sender.name) is not sender:
            return
        if frozenset((sender.name, receiver)) in self._cuts:
            return
        if any(drops(sender.name, receiver, message) for drops in self._filters):
            return
        faults, rng = self.faults, self._rng
        if faults.drop and rng.random() < faults.drop:
            return
        copies = 2 if faults.repeat and rng.random() < faults.repeat else 1
        frame = encode_frame(sender.name, [message])
        self.bytes += len(frame)
        if any(holds(sender.name, receiver, message) for holds in self._holds):
            self._held.append((receiver, frame))
            return
        for _ in range(copies):
            delay_s = self._delay_s
            if faults.late and rng.random() < faults.late:
                delay_s += rng.random() * faults.late_s
            self._clock.callLater(delay_s, self._deliver, receiver, frame)

    def _deliver(self, receiver: str, data: bytes) -> None:
        link = self.links.get(receiver)
        if link is None or link.receiver is None:
            return
        frame = decode_frame(data)
        if frozenset((frame.sender, receiver)) in self._cuts:
            return
        link.deliver(frame.sender, frame.messages)


class FakeLink:
    """A `LinkPort` on a `FakeNetwork`.

    Attributes
    ----------
    is_paused : bool
        While set, arriving messages wait, as at a paused process.
    """

    def __init__(self, name: str, network: FakeNetwork) -> None:
        self.name = name
        self.receiver: Receiver | None = None
        self.is_paused = False
        self._network = network
        self._held: list[tuple[str, list[Message]]] = []

    def send(self, peer: str, message: Message, is_deferrable: bool = False) -> None:
        """Send a message."""
        self._network.carry(self, peer, message)

    def connect(self, peer: str, address: str) -> None:
        """Do nothing; every process can reach every other."""

    def use_inbound(self, peer: str) -> None:
        """Do nothing."""

    def disconnect(self, peer: str) -> None:
        """Do nothing."""

    def listen(self, receiver: Receiver) -> None:
        """Deliver what arrives to ``receiver``."""
        self.receiver = receiver

    def deliver(self, sender: str, messages: list[Message]) -> None:
        """Hand on what has arrived, or hold it while paused."""
        if self.is_paused:
            self._held.append((sender, messages))
        elif self.receiver is not None:
            self.receiver(sender, messages)

    def resume(self) -> None:
        """Deliver what was held."""
        self.is_paused = False
        held, self._held = self._held, []
        for sender, messages in held:
            self.deliver(sender, messages)

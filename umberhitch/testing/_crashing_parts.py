"""Load of sound requests beside others with a part in their prompts that ends endpoints."""

from dataclasses import dataclass, field

from umberhitch.testing._crashing import CrashingFleet
from umberhitch.testing._direct import KEY, DirectAsk

__all__ = ["MIN_REQUESTS", "PartLoad"]

SOUND_GAP_S = 0.05
BAD_GAP_S = 0.3
QUIET_S = 4.0
BAD_FOR_S = 24.0
KNOWN_S = 3.0
"""Seconds after the fifth crash within which all routers know the part."""
CALM_S = 6.0
"""Seconds after the fifth crash from which sound requests are served as before."""
PARTS = ("system", "document")
MIN_REQUESTS = 20
"""A share of fewer requests says nothing."""


@dataclass
class PartLoad:
    """Requests of one customer that share their parts, but for the crashing one; no two are alike.

    Attributes
    ----------
    fleet : CrashingFleet
    path : str
    bad_part : str
    position : int
        Where the part stands among the other parts, from 0.
    parts : tuple of str
        The parts that all requests share.
    """

    fleet: CrashingFleet
    path: str = "/draft/x"
    bad_part: str = "bad"
    position: int = 1
    parts: tuple[str, ...] = PARTS
    sound: list[tuple[float, DirectAsk]] = field(default_factory=list)
    bad: list[tuple[float, DirectAsk]] = field(default_factory=list)

    def send_sound(self, number: int, key: str = KEY) -> None:
        """Send a sound request to a router by number."""
        self.sound.append(self._send(number, "sound", self.parts, key))

    def send_bad(self, number: int, key: str = KEY) -> None:
        """Send a request with the crashing part to a router by number."""
        parts = [*self.parts]
        parts.insert(self.position, self.bad_part)
        self.bad.append(self._send(number, "bad", tuple(parts), key))

    def _send(
        self, number: int, kind: str, parts: tuple[str, ...], key: str
    ) -> tuple[float, DirectAsk]:
        own = f"{kind}{self.bad_part}{number}"
        prompt = ",".join(f"{part}:100" for part in (*parts, own))
        req = self.fleet.ask(number, self.path, body=own.encode(), key=key, Prompt=prompt)
        return self.fleet.world.clock.seconds(), req

    def play(self, bad_for_s: float = BAD_FOR_S) -> None:
        """Send sound requests all the time, and the others for a time after a quiet beginning."""
        fleet = self.fleet
        fleet.every(SOUND_GAP_S, QUIET_S + bad_for_s, lambda n: self.send_sound(n * 7))
        fleet.world.run(QUIET_S)
        fleet.every(BAD_GAP_S, bad_for_s, self.send_bad)
        fleet.world.run(bad_for_s + 8.0)

    @property
    def fifth_crash_s(self) -> float:
        """When the fifth endpoint ended under the part, or the last one if there are fewer."""
        crashes_s = self.fleet.part_crashes_s(self.bad_part)
        return crashes_s[min(4, len(crashes_s) - 1)]

    def late_sends(self) -> int:
        """Return how many calls with the part reached endpoints once all routers know it."""
        known_s = self.fifth_crash_s + KNOWN_S
        return sum(at_s > known_s for at_s in self.fleet.part_sends_s(self.bad_part))

    def served_before(self) -> float:
        """Return the share of the sound requests that were served before the first bad one."""
        return _served([req for at_s, req in self.sound if at_s < self.bad[0][0] - 1.0])

    def sound_after(self) -> list[DirectAsk]:
        """Return the sound ones from `CALM_S` after the fifth crash, while bad ones still come."""
        begin_s, end_s = self.fifth_crash_s + CALM_S, self.bad[-1][0]
        return [req for at_s, req in self.sound if begin_s < at_s < end_s]

    def served_after(self) -> float:
        """Return the share of these that were served."""
        return _served(self.sound_after())


def _served(reqs: list[DirectAsk]) -> float:
    assert len(reqs) >= MIN_REQUESTS
    return sum(req.status == 200 and req.reply.is_complete for req in reqs) / len(reqs)

"""What endpoints got from routers to which they had said that they leave or want nothing."""

from umberhitch.fakes import FakeEndpoint

__all__ = ["sent_after_leaving", "sent_while_resting"]

UNDER_WAY_S = 0.5
"""What a router sends so long after an endpoint's refusal may have been under way."""


def sent_after_leaving(endpoint: FakeEndpoint, slack_s: float = 0.0) -> list[tuple[str, float]]:
    """Return the calls of routers that were told longer ago that it leaves, with their times."""
    told_s: dict[str, float] = {}
    for sender, at_s in endpoint.drain_words:
        told_s.setdefault(sender, at_s)
    return [
        (sender, at_s)
        for sender, at_s in endpoint.arrivals
        if at_s > told_s.get(sender, float("inf")) + slack_s
    ]


def sent_while_resting(endpoint: FakeEndpoint) -> list[int]:
    """Return for each refusal with a time how many calls its router sent within that time."""
    return [
        sum(
            sender == told and word_s + UNDER_WAY_S < at_s < word_s + rests_s
            for sender, at_s in endpoint.arrivals
        )
        for told, word_s, rests_s in endpoint.rest_words
    ]

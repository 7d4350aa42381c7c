"""Stand-in for the rating service: ``python -m umberhitch.standins.ratings --port 0``."""

from random import Random
from typing import Any

from klein import Klein
from msgspec import json

from umberhitch.adapters.http_server import send_json
from umberhitch.fakes import FakeRatings
from umberhitch.standins._serve import add_faults, run_standin

__all__ = ["RatingStandin"]

SEED = 1


class RatingStandin:
    """Serves `FakeRatings` over HTTP."""

    app = Klein()

    def __init__(self, reactor: Any, ratings: FakeRatings | None = None) -> None:
        self.ratings = ratings or FakeRatings(reactor, Random(SEED))

    @app.route("/ratings", methods=["POST"])
    async def rate(self, request: Any) -> bytes:
        """Rate an answer, after the service's delay."""
        body = json.decode(request.content.read())
        try:
            rating = await self.ratings.rate(
                body["target"], body["class"], body["question"], body["answer"]
            )
        except OSError as exc:
            return send_json(request, 503, {"error": str(exc)})
        return send_json(request, 200, {"rating": rating})

    @app.route("/quality", methods=["POST"])
    def set_quality(self, request: Any) -> bytes:
        """Set the mean rating of versions: ``{"m@1": 0.4}``."""
        self.ratings.quality.update(json.decode(request.content.read()))
        return send_json(request, 200, self.ratings.quality)


add_faults(RatingStandin.app, lambda standin: standin.ratings.faults)

if __name__ == "__main__":
    run_standin(RatingStandin)

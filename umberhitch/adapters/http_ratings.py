"""The platform's rating service over HTTP."""

from umberhitch.adapters.http_client import HttpClient

__all__ = ["HttpRatings"]

RATING_TIMEOUT_S = 30.0
STATUS_OK = 200


class HttpRatings:
    """Client of the rating service.

    Parameters
    ----------
    http : HttpClient
    url : str
        Base URL of the service.
    """

    def __init__(self, http: HttpClient, url: str) -> None:
        self._http = http
        self._url = url.rstrip("/")

    async def rate(self, target: str, klass: str, question: str, answer: str) -> float | None:
        """Return a rating between 0 and 1, or None where there is none; raises ``OSError``."""
        body = {"target": target, "class": klass, "question": question, "answer": answer}
        try:
            response = await self._http.request(
                "POST", f"{self._url}/ratings", json=body, timeout=RATING_TIMEOUT_S
            )
            reply = await self._http.decode_json(response)
            if response.code != STATUS_OK:
                raise OSError(f"status {response.code}")
            rating = reply["rating"]
            return None if rating is None else float(rating)
        except Exception as exc:  # a rating is done without, however it failed
            raise OSError(f"rating service: {type(exc).__name__}: {exc}") from exc

"""The demo's caller: an ordinary HTTP client that remembers what became of each request."""

from dataclasses import dataclass, field
from typing import Any

import treq
from msgspec import json

from umberhitch.adapters.http_client import HttpClient

__all__ = ["Answer", "DemoCaller"]


@dataclass(slots=True)
class Answer:
    """What the caller got."""

    klass: str
    customer: str
    http_status: int
    status: str
    """``done``, ``not_run`` or ``unknown``."""
    reason: str
    latency_s: float
    text: str = ""
    model: str = ""
    request: str = ""
    question: str = ""
    headers: dict[str, str] = field(default_factory=dict)
    body: Any = None


class DemoCaller:
    """Sends requests of all customers to any router.

    Parameters
    ----------
    reactor : IReactorTime
    """

    def __init__(self, reactor: Any) -> None:
        self._http = HttpClient(reactor, timeout_s=60.0, connections=50)
        self._reactor = reactor

    async def call(
        self,
        method: str,
        url: str,
        customer: str,
        klass: str = "",
        body: Any = None,
        headers: dict[str, str] | None = None,
    ) -> Answer:
        """Make one call and return what it got."""
        sent = {"Authorization": f"Bearer demo-key-{customer}", **(headers or {})}
        if klass:
            sent["Umberhitch-Class"] = klass
        began = self._reactor.seconds()
        response = await self._http.request(method, url, headers=sent, json=body)
        content = await treq.content(response)
        latency_s = self._reactor.seconds() - began
        decoded = json.decode(content) if content else {}
        answer = Answer(klass, customer, response.code, "done", "", latency_s, body=decoded)
        answer.headers = {
            name.decode().lower(): values[0].decode()
            for name, values in response.headers.getAllRawHeaders()
        }
        answer.request = answer.headers.get("umberhitch-request-id", "")
        if isinstance(decoded, dict) and "status" in decoded and "error" in decoded:
            answer.status = decoded["status"]
            answer.reason = decoded["error"]["code"]
        elif isinstance(decoded, dict) and "choices" in decoded:
            answer.text = decoded["choices"][0]["message"]["content"]
            answer.model = decoded["model"]
        return answer

    async def chat(
        self,
        router: str,
        customer: str,
        klass: str,
        question: str,
        model: str = "auto",
        headers: dict[str, str] | None = None,
    ) -> Answer:
        """Ask a model."""
        body = {
            "model": model,
            "messages": [{"role": "user", "content": question}],
            "max_tokens": 12,
        }
        answer = await self.call(
            "POST", f"http://{router}/v1/chat/completions", customer, klass, body, headers
        )
        answer.question = question
        return answer

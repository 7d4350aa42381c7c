"""The callers' interface over HTTP."""

from collections.abc import Callable
from hashlib import sha256
from typing import Any
from uuid import UUID

from klein import Klein
from msgspec import json
from xxhash import xxh3_64_hexdigest

from umberhitch.adapters.caller_reply import Reply, RequestError
from umberhitch.adapters.caller_shapes import (
    ChatBody,
    SessionBody,
    chat_answer,
    error_body,
    parse_body,
)
from umberhitch.adapters.http_server import send_json
from umberhitch.config import Customer, RequestClass, Service
from umberhitch.core.outcome import Done, NotRun, Reason
from umberhitch.core.selection import choose_version, permitted_versions
from umberhitch.core.session import Session, read_session_token, sign_session_token
from umberhitch.errors import ConfigError, SessionError
from umberhitch.tasks.request_state import CallerRequest
from umberhitch.tasks.resume import parse_locator
from umberhitch.tasks.router import Router
from umberhitch.wire import EngineWork, ServiceWork

__all__ = ["CallerApi"]

DEFAULT_CLASS = RequestClass(name="default")
HEADER_CLASS = "Umberhitch-Class"
HEADER_DEADLINE = "Umberhitch-Deadline-Ms"
HEADER_PRIORITY = "Umberhitch-Priority"
HEADER_SESSION = "Umberhitch-Session"
HEADER_KEY = "Idempotency-Key"
HEADER_REPLAYED = "Umberhitch-Replayed"
MAX_KEY_CHARS = 256
FORWARDED_HEADERS = ("content-type", "accept")


class CallerApi:
    """Owns the callers' routes of one router.

    Parameters
    ----------
    router : Router
    wall_s : callable
        Returns seconds since the epoch.
    new_id : callable
        Returns a fresh random UUID.
    """

    app = Klein()

    def __init__(
        self, router: Router, wall_s: Callable[[], float], new_id: Callable[[], UUID]
    ) -> None:
        self._router = router
        self._wall_s = wall_s
        self._new_id = new_id

    def _reply(self, request: Any) -> Reply:
        return Reply(request, f"req-{self._new_id().hex}", int(self._wall_s()))

    # Understanding a request

    def _customer(self, request: Any) -> Customer:
        if not self._router.feed.is_ready:
            raise RequestError(503, "no_configuration", "no configuration has been read yet")
        header = request.getHeader("Authorization") or ""
        scheme, _, key = header.partition(" ")
        customer = None
        if scheme.lower() == "bearer" and key:
            customer = self._router.requests.authenticate(key.strip())
        if customer is None:
            raise RequestError(401, "unauthorized", "a valid bearer key is needed")
        return customer

    def _class(self, request: Any, fallback: RequestClass) -> RequestClass:
        name = request.getHeader(HEADER_CLASS)
        classes = self._router.feed.config.classes
        if not name:
            return classes.get("default", fallback)
        if name not in classes:
            raise RequestError(400, "unknown_class", f'unknown request class "{name}"')
        return classes[name]

    def _number(self, request: Any, header: str, low: int, high: int) -> int | None:
        text = request.getHeader(header)
        if text is None:
            return None
        if not text.isdecimal() or not low <= int(text) <= high:
            raise RequestError(
                400, "invalid_header", f"{header} must be a whole number from {low} to {high}"
            )
        return int(text)

    def _class_for(self, request: Any, fallback: RequestClass) -> RequestClass:
        """Return the class, with a priority that a caller may only make less urgent."""
        klass = self._class(request, fallback)
        priority = self._number(request, HEADER_PRIORITY, 0, 9)
        if priority is None or priority <= klass.priority:
            return klass
        return RequestClass(
            name=klass.name,
            priority=priority,
            quality_target=klass.quality_target,
            deadline_s=klass.deadline_s,
            repeatable=klass.repeatable,
        )

    def _deadline_s(self, request: Any, klass: RequestClass) -> float:
        deadline_ms = self._number(request, HEADER_DEADLINE, 1, 3_600_000)
        return klass.deadline_s if deadline_ms is None else deadline_ms / 1000

    def _key(self, request: Any, customer: Customer) -> str:
        key = request.getHeader(HEADER_KEY)
        if key is None:
            return ""
        if not 0 < len(key) <= MAX_KEY_CHARS:
            raise RequestError(
                400, "invalid_header", f"{HEADER_KEY} must have 1 to {MAX_KEY_CHARS} characters"
            )
        return sha256(f"{customer.name}\0{key}".encode()).hexdigest()

    def _session(self, request: Any) -> tuple[Session | None, str]:
        token = request.getHeader(HEADER_SESSION)
        if not token:
            return None, ""
        try:
            session = read_session_token(token, self._router.feed.config, self._wall_s())
        except SessionError as exc:
            raise RequestError(401, "invalid_session", str(exc)) from exc
        return session, token

    @app.handle_errors(RequestError)
    def _on_request_error(self, request: Any, failure: Any) -> bytes:
        exc = failure.value
        body = error_body("not_run", exc.code, str(exc), "", exc.findings)
        return send_json(request, exc.status, body)

    @app.handle_errors(ConfigError)
    def _on_findings(self, request: Any, failure: Any) -> bytes:
        exc = failure.value
        body = error_body("not_run", "invalid_body", str(exc), "", exc.findings)
        return send_json(request, 400, body)

    # Chat

    @app.route("/v1/chat/completions", methods=["POST"])
    async def chat(self, request: Any) -> bytes:
        """Answer a chat request, whole or as a stream."""
        customer = self._customer(request)
        body: ChatBody = parse_body(ChatBody, request.content.read())
        reply = self._reply(request)
        ask = self._chat_ask(request, customer, body, reply.request_id)
        reply.model = body.model
        if body.stream:
            outcome = await self._router.requests.serve(ask, reply.write_text, reply.place)
            return reply.end_stream(outcome, body.wants_usage)
        outcome = await self._router.requests.serve(ask, _ignore_text, reply.place)
        if not isinstance(outcome, Done):
            return reply.error(outcome)
        if outcome.replayed:
            request.setHeader(HEADER_REPLAYED, "true")
        return send_json(request, 200, chat_answer(outcome, reply.request_id, reply.created_s))

    def _chat_ask(
        self, request: Any, customer: Customer, body: ChatBody, request_id: str
    ) -> CallerRequest:
        klass = self._class_for(request, DEFAULT_CLASS)
        session, token = self._session(request)
        work = EngineWork(
            body.messages, body.token_limit, body.temperature, _prefix_of(body.messages)
        )
        return CallerRequest(
            request_id=request_id,
            customer=customer,
            klass=klass,
            spec=body.model,
            work=work,
            timeout_s=self._deadline_s(request, klass),
            is_repeatable=klass.repeatable,
            session=session,
            session_token=token,
            idempotency_key=self._key(request, customer),
            fingerprint=_fingerprint(body.model, work),
            is_streamed=body.stream,
        )

    @app.route("/v1/models", methods=["GET"])
    def models(self, request: Any) -> bytes:
        """List what the customer may use."""
        customer = self._customer(request)
        config = self._router.feed.config
        names = [
            name
            for name in [*config.models, *config.versions]
            if not isinstance(permitted_versions(config, customer.name, name, None), NotRun)
        ]
        rows = [
            {"id": name, "object": "model", "created": 0, "owned_by": "umberhitch"}
            for name in sorted(names)
        ]
        return send_json(request, 200, {"object": "list", "data": rows})

    # Sessions

    @app.route("/v1/sessions", methods=["POST"])
    def open_session(self, request: Any) -> bytes:
        """Pin a session to a version."""
        customer = self._customer(request)
        body: SessionBody = parse_body(SessionBody, request.content.read())
        config = self._router.feed.config
        versions = permitted_versions(config, customer.name, body.model, None)
        klass = config.classes.get(body.request_class, DEFAULT_CLASS)
        if isinstance(versions, NotRun):
            return self._reply(request).error(versions)
        chosen = choose_version(versions, klass, self._router.fleet.has_endpoint, self._router.rng)
        if chosen is None:
            return self._reply(request).error(NotRun(Reason.NO_ENDPOINT, "", 1.0))
        session = Session(
            f"ses-{self._new_id().hex}",
            customer.name,
            chosen.key,
            self._wall_s() + config.policy.session_ttl_s,
        )
        try:
            token = sign_session_token(session, config)
        except SessionError as exc:
            raise RequestError(503, "no_signing_key", str(exc)) from exc
        return send_json(
            request,
            201,
            {
                "id": session.session_id,
                "token": token,
                "model": chosen.key,
                "expires_at": int(session.expires_s),
            },
        )

    @app.route("/v1/sessions", methods=["DELETE"])
    def close_session(self, request: Any) -> bytes:
        """End a session; its token is for the caller to forget, since no router keeps it."""
        self._customer(request)
        session, _ = self._session(request)
        if session is None:
            raise RequestError(400, "invalid_session", f"{HEADER_SESSION} is needed")
        return send_json(request, 200, {"id": session.session_id, "closed": True})

    # Answers that are fetched again

    @app.route("/v1/requests/<locator>", methods=["GET"])
    async def fetch(self, request: Any, locator: str) -> bytes:
        """Return an answer, or the rest of it, by the locator that came with it."""
        customer = self._customer(request)
        where = parse_locator(locator)
        if where is None:
            raise RequestError(400, "invalid_locator", "not an answer locator")
        offset = _offset(request)
        reply = self._reply(request)
        outcome = await self._router.answer_fetcher.fetch(where, customer.name, offset)
        if not isinstance(outcome, Done):
            return reply.error(outcome)
        body = chat_answer(outcome, where.request_id, reply.created_s)
        return send_json(request, 200, body)

    # Plain services

    @app.route("/v1/services/<name>/<path:path>", methods=["GET", "POST", "PUT", "DELETE"])
    async def service(self, request: Any, name: str, path: str) -> bytes:
        """Pass a call on to a plain service."""
        customer = self._customer(request)
        service = self._router.feed.config.services.get(name)
        reply = self._reply(request)
        if service is None:
            return reply.error(NotRun(Reason.UNKNOWN_MODEL, f'no service "{name}"'))
        ask = self._service_ask(request, customer, service, path, reply.request_id)
        outcome = await self._router.requests.serve(ask, _ignore_text, reply.place)
        if not isinstance(outcome, Done):
            return reply.error(outcome)
        for header, value in outcome.headers:
            request.setHeader(header, value)
        if outcome.replayed:
            request.setHeader(HEADER_REPLAYED, "true")
        request.setResponseCode(outcome.status)
        return outcome.text.encode("latin-1")

    def _service_ask(
        self, request: Any, customer: Customer, service: Service, path: str, request_id: str
    ) -> CallerRequest:
        method = request.method.decode()
        fallback = RequestClass(
            name="service", priority=service.priority, deadline_s=service.deadline_s
        )
        name = request.getHeader(HEADER_CLASS)
        klass = self._class_for(request, fallback) if name else fallback
        headers = {
            header: request.getHeader(header)
            for header in FORWARDED_HEADERS
            if request.getHeader(header)
        }
        query = request.uri.partition(b"?")[2].decode("latin-1")
        work = ServiceWork(
            method, f"{path}?{query}" if query else path, headers, request.content.read()
        )
        return CallerRequest(
            request_id=request_id,
            customer=customer,
            klass=klass,
            spec=service.name,
            work=work,
            timeout_s=self._deadline_s(request, klass),
            is_repeatable=klass.repeatable and is_repeatable_call(service, method, path),
            idempotency_key=self._key(request, customer),
            fingerprint=_fingerprint(service.name, work),
        )


def is_repeatable_call(service: Service, method: str, path: str) -> bool:
    """Whether a service's call may run more than once."""
    for pattern in service.non_repeatable:
        wanted, _, prefix = pattern.partition(" ")
        if wanted in ("*", method) and f"/{path}".startswith(prefix):
            return False
    return True


def _ignore_text(text: str) -> None:
    """Take a piece of an answer that is sent only when it is whole."""


def _prefix_of(messages: list[dict[str, Any]]) -> str:
    """Return the hash of the leading system messages, which callers share."""
    leading = []
    for message in messages:
        if message.get("role") not in ("system", "developer"):
            break
        leading.append(message)
    return xxh3_64_hexdigest(json.encode(leading)) if leading else ""


def _fingerprint(spec: str, work: EngineWork | ServiceWork) -> str:
    return sha256(json.encode((spec, work))).hexdigest()


def _offset(request: Any) -> int:
    text = request.args.get(b"from", [b"0"])[0]
    if not text.isdigit():
        raise RequestError(400, "invalid_offset", "from must be a whole number")
    return int(text)

"""Bad input over real sockets: one clear answer, and the process goes on."""

import socket
from http.client import HTTPConnection

import pytest
from msgspec import json

from umberhitch.conftest import Served

AUTH = {"Authorization": "Bearer key-acme", "Content-Type": "application/json"}
TIMEOUT_S = 20.0


def _call(served: Served, method: str, path: str, body: bytes = b"", **headers: str):
    host, _, port = served.callers.rpartition(":")
    conn = HTTPConnection(host, int(port), timeout=TIMEOUT_S)
    conn.request(method, path, body, {**AUTH, **headers})
    response = conn.getresponse()
    data = response.read()
    conn.close()
    return response, json.decode(data) if data else None


def _chat(**fields) -> bytes:
    return json.encode({"model": "m", "messages": [{"role": "user", "content": "q"}], **fields})


@pytest.mark.parametrize(
    ("body", "place"),
    [
        (b"{nonsense", ""),
        (b'{"model": "m"}', "messages"),
        (_chat(max_tokens=0), "max_tokens"),
        (_chat(temperature=9), "temperature"),
        (b'{"model": "", "messages": []}', "model"),
    ],
)
def test_malformed_bodies_are_reported_with_their_place(
    served: Served, body: bytes, place: str
) -> None:
    response, answer = _call(served, "POST", "/v1/chat/completions", body)
    assert response.status == 400
    assert answer["status"] == "not_run"
    assert place in [finding["place"] for finding in answer["error"]["findings"]]


def test_every_finding_is_reported_at_once(served: Served) -> None:
    body = _chat(max_tokens=0, temperature=9, stream="perhaps")
    _, answer = _call(served, "POST", "/v1/chat/completions", body)
    places = {finding["place"] for finding in answer["error"]["findings"]}
    assert places == {"max_tokens", "temperature", "stream"}


@pytest.mark.parametrize(
    ("headers", "status", "code"),
    [
        ({"Authorization": "Bearer wrong"}, 401, "unauthorized"),
        ({"Umberhitch-Class": "nope"}, 400, "unknown_class"),
        ({"Umberhitch-Deadline-Ms": "soon"}, 400, "invalid_header"),
        ({"Umberhitch-Priority": "10"}, 400, "invalid_header"),
        ({"Umberhitch-Session": "forged"}, 401, "invalid_session"),
        ({"Idempotency-Key": "k" * 300}, 400, "invalid_header"),
    ],
)
def test_bad_headers(served: Served, headers: dict, status: int, code: str) -> None:
    response, answer = _call(served, "POST", "/v1/chat/completions", _chat(), **headers)
    assert (response.status, answer["error"]["code"]) == (status, code)
    assert answer["status"] == "not_run"


def test_an_oversized_body_is_refused_before_it_is_read(served: Served) -> None:
    host, _, port = served.callers.rpartition(":")
    with socket.create_connection((host, int(port)), timeout=TIMEOUT_S) as conn:
        conn.sendall(
            b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999\r\n\r\n"
        )
        assert conn.recv(64).startswith(b"HTTP/1.1 413")


def test_an_oversized_chunked_body_is_cut_off(served: Served) -> None:
    host, _, port = served.callers.rpartition(":")
    with socket.create_connection((host, int(port)), timeout=TIMEOUT_S) as conn:
        conn.sendall(
            b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        piece = b"10000\r\n" + b"x" * 0x10000 + b"\r\n"
        answer = b""
        try:
            for _ in range(80):
                conn.sendall(piece)
            answer = conn.recv(64)
        except ConnectionError:
            answer = b"HTTP/1.1 413"
        assert answer.startswith(b"HTTP/1.1 413")


def test_oversized_headers_end_the_connection(served: Served) -> None:
    host, _, port = served.callers.rpartition(":")
    with socket.create_connection((host, int(port)), timeout=TIMEOUT_S) as conn:
        conn.sendall(b"GET /v1/models HTTP/1.1\r\n" + b"X-Long: " + b"y" * 200_000)
        try:
            answer = conn.recv(64)
        except ConnectionError:
            answer = b""
        assert answer == b"" or answer.startswith(b"HTTP/1.1 4")


def test_the_router_still_serves(served: Served) -> None:
    response, answer = _call(served, "POST", "/v1/chat/completions", _chat(max_tokens=2))
    assert response.status == 200
    assert answer["choices"][0]["message"]["content"].startswith("m@1/")


def test_a_service_call_with_a_key_runs_once(served: Served) -> None:
    body = json.encode({"plate": "FJ 1"})
    key = {"Idempotency-Key": "renew-1"}
    first, one = _call(served, "POST", "/v1/services/svc/renewals", body, **key)
    second, two = _call(served, "POST", "/v1/services/svc/renewals", body, **key)
    assert (first.status, second.status) == (200, 200)
    assert one == two == {"method": "POST", "path": "renewals", "runs": 1}
    assert second.getheader("Umberhitch-Replayed") == "true"
    reused, answer = _call(served, "POST", "/v1/services/svc/renewals", b"{}", **key)
    assert (reused.status, answer["error"]["code"]) == (422, "key_reused")


def test_a_session_is_pinned(served: Served) -> None:
    response, opened = _call(served, "POST", "/v1/sessions", b'{"model": "m"}')
    assert (response.status, opened["model"]) == (201, "m@1")
    token = {"Umberhitch-Session": opened["token"]}
    response, answer = _call(served, "POST", "/v1/chat/completions", _chat(), **token)
    assert answer["model"] == "m@1"
    response, answer = _call(served, "POST", "/v1/chat/completions", _chat(model="m@2"), **token)
    assert (response.status, answer["error"]["code"]) == (403, "not_permitted")
    response, answer = _call(served, "DELETE", "/v1/sessions", b"", **token)
    assert answer["closed"]


def test_an_answer_is_found_again_by_its_locator(served: Served) -> None:
    response, answer = _call(served, "POST", "/v1/chat/completions", _chat(max_tokens=3))
    locator = response.getheader("Umberhitch-Answer")
    again, found = _call(served, "GET", f"/v1/requests/{locator}")
    assert again.status == 200
    assert found["choices"][0]["message"] == answer["choices"][0]["message"]
    other, refused = _call(
        served, "GET", f"/v1/requests/{locator}", Authorization="Bearer key-other"
    )
    assert other.status == 502
    assert refused["status"] == "unknown"
    bad, _ = _call(served, "GET", "/v1/requests/nonsense")
    assert bad.status == 400

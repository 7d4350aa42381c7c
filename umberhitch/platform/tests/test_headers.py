"""Headers on the users' platform: forwarding, dropping and decoding."""

import pytest

from umberhitch.core.direct import HeadSignals, PromptPart, Rate, ReportedLoad
from umberhitch.errors import BadAskError
from umberhitch.platform import PlatformWire
from umberhitch.ports.direct import CallMetadata, RawRequest

WIRE = PlatformWire()
HEAD = [
    (b"Host", b"models.example:80"),
    (b"Attempt-Id", b"abc"),
    (b"Authorization", b"Bearer secret"),
    (b"Deadline-Ms", b"1500"),
    (b"Model", b"*"),
    (b"Token-Count", b"1000,80"),
    (b"Prompt-Prefix", b"5c1e:800,91bd:200"),
    (b"X-Own", b"1"),
]
METADATA = CallMetadata(1.2, "i-1", "acme", "large", 12, b"7")


def read(*more: tuple[bytes, bytes]):
    return WIRE.read_request(RawRequest(b"POST", b"/a/b?q=1", [*HEAD, *more], b"body", 0.0))


def test_a_request_is_decoded():
    req = read()
    assert (req.host, req.path, req.key, req.patience_s) == (
        "models.example",
        "/a/b",
        "secret",
        1.5,
    )
    assert req.picks_model
    assert req.prompt == (PromptPart("5c1e", 800), PromptPart("91bd", 200))
    assert req.output_tokens == 80


@pytest.mark.parametrize(
    "name",
    [
        b"Cache-Hold",
        b"Pin-Ms",
        b"Kv-Backup",
        b"Kv-From",
        b"Kv-Fetch",
        b"Expect-Instance",
        b"Expect-Version",
        b"Tenant",
        b"Request-Priority",
        b"Upgrade",
        b"TE",
    ],
)
def test_headers_that_only_the_router_may_set_are_not_forwarded(name: bytes):
    headers = WIRE.call_headers(read((name, b"forged")), METADATA)
    assert (name, b"forged") not in headers


def test_headers_that_the_router_sets_are_sent_once():
    forged = [(b"tenant", b"other"), (b"Connection", b"X-Own"), (b"last-event-id", b"3")]
    headers = WIRE.call_headers(read(*forged), METADATA)
    names = [name.lower() for name, _ in headers]
    assert len(names) == len(set(names))
    assert b"x-own" not in names
    assert b"authorization" not in names
    found = {name.lower(): value for name, value in headers}
    assert found[b"tenant"] == b"acme"
    assert found[b"model"] == b"large"
    assert found[b"deadline-ms"] == b"1200"
    assert found[b"request-priority"] == b"9"
    assert found[b"last-event-id"] == b"7"
    assert found[b"attempt-id"] == b"abc"


@pytest.mark.parametrize(
    ("headers", "status"),
    [
        ([(b"Host", b"h")], 400),
        ([(b"Host", b"h"), (b"Attempt-Id", b"a"), (b"Deadline-Ms", b"-1")], 400),
        ([(b"Host", b"h"), (b"Attempt-Id", b"a"), (b"Prompt-Prefix", b"x")], 400),
    ],
)
def test_malformed_heads_are_refused(headers: list, status: int):
    with pytest.raises(BadAskError) as caught:
        WIRE.read_request(RawRequest(b"GET", b"/", headers, b"", 0.0))
    assert caught.value.status == status


def test_a_reply_is_decoded():
    head = WIRE.read_reply(
        200,
        [
            (b"Attempt-Id", b"abc"),
            (b"Response-Signature", b"s"),
            (b"Confidence", b"62"),
            (b"Replica-Load", b"3,0,8"),
            (b"Connection", b"close"),
        ],
    )
    assert (head.call_id, head.is_signed, head.confidence) == ("abc", True, 62)
    assert (head.signals.load, head.not_run) == (ReportedLoad(3, 0, 8), False)
    assert (b"Response-Signature", b"s") in head.headers
    assert all(name != b"Connection" for name, _ in head.headers)


@pytest.mark.parametrize(
    ("status", "headers", "not_run"),
    [
        (503, [(b"Not-Executed", b"1")], True),
        (503, [], False),
        (429, [], False),
        (421, [(b"Replica-Id", b"i-2")], True),
        (500, [], False),
    ],
)
def test_only_an_explicit_guarantee_means_not_run(status: int, headers: list, not_run: bool):
    assert WIRE.read_reply(status, headers).not_run is not_run


@pytest.mark.parametrize(
    ("values", "rate"),
    [
        ([b"2.3"], 2.3),
        ([b" 2 "], 2.0),
        ([b"0"], 0.0),
        ([b"0.0"], 0.0),
        ([b".5"], 0.5),
        ([b"7."], 7.0),
        ([b"9" * 30], 1e6),
        ([b"4", b"2.5"], 2.5),
        ([b"4, 2.5"], 2.5),
        ([b"many", b"2.5"], 2.5),
    ],
)
def test_the_lowest_rate_limit_of_a_reply_counts(values, rate):
    head = WIRE.read_reply(200, [(b"server-LIMIT", value) for value in values])
    assert head.signals.limit == Rate(rate)


def test_a_reply_without_a_rate_limit_has_none():
    head = WIRE.read_reply(200, [(b"Attempt-Id", b"abc")])
    assert head.signals.limit == Rate()


@pytest.mark.parametrize(
    "value",
    [
        b"",
        b"-1",
        b"+2",
        b"1e3",
        b"nan",
        b"inf",
        b"many",
        b"2.3/s",
        b"1 2",
        b"0x10",
        b"\xff\xfe",
        "٣".encode(),
        b"9" * 300,
        b".",
    ],
)
def test_a_malformed_rate_limit_is_neither_a_rate_nor_missing(value: bytes):
    head = WIRE.read_reply(503, [(b"Server-Limit", value)])
    assert head.signals.limit == Rate(None, is_malformed=True)


def test_the_rate_limit_is_forwarded_to_the_caller_unchanged():
    head = WIRE.read_reply(200, [(b"Server-Limit", b"2.3")])
    assert head.headers == [(b"Server-Limit", b"2.3")]


@pytest.mark.parametrize(
    ("values", "seconds"),
    [
        ([b"3"], 3.0),
        ([b" 0.5 "], 0.5),
        ([b".25"], 0.25),
        ([b"0"], 0.0),
        ([b"9" * 30], 86_400.0),
        ([b"2", b"7.5"], 7.5),
        ([b"2, 7.5"], 7.5),
        ([b"soon", b"2"], 2.0),
        ([b"Wed, 21 Oct 2015 07:28:05 GMT"], 5.0),
        ([b"Wednesday, 21-Oct-15 07:28:05 GMT"], 5.0),
        ([b"Wed Oct 21 07:28:05 2015"], 5.0),
        ([b"Wed, 21 Oct 2015 07:27:00 GMT"], 0.0),
        ([b"Wed, 21 Oct 2015 07:28:05 GMT, 9"], 9.0),
    ],
)
def test_retry_after_is_read_in_all_its_forms_and_the_longest_counts(values, seconds):
    wire = PlatformWire(lambda: 1_445_412_480.0)  # 21 October 2015, 7:28:00
    head = wire.read_reply(503, [(b"RETRY-after", value) for value in values])
    assert head.signals.backoff_s == seconds
    assert head.signals.malformed == ()


def test_a_retry_after_date_is_relative_to_the_date_of_the_reply():
    headers = [
        (b"Date", b"Wed, 21 Oct 2015 09:00:00 GMT"),
        (b"Retry-After", b"Wed, 21 Oct 2015 09:00:04 GMT"),
    ]
    assert PlatformWire(lambda: 0.0).read_reply(503, headers).signals.backoff_s == 4.0


@pytest.mark.parametrize(
    "value",
    [
        b"",
        b"-1",
        b"+2",
        b"1e3",
        b"nan",
        b"inf",
        b"soon",
        b"3 s",
        b"0x10",
        b"\xff\xfe",
        "٣".encode(),
        b"9" * 300,
        b".",
        b"Wed, 99 Oct 2015 07:28:05 GMT",
        b"Wed, 21 Oct 2015",
    ],
)
def test_a_malformed_retry_after_sets_no_backoff(value: bytes):
    signals = WIRE.read_reply(503, [(b"Retry-After", value)]).signals
    assert signals.backoff_s is None
    assert signals.malformed == ("retry-after",)


@pytest.mark.parametrize("status", [200, 404, 429, 500, 502])
def test_retry_after_with_another_status_is_only_forwarded_to_the_caller(status: int):
    head = WIRE.read_reply(status, [(b"Retry-After", b"3")])
    assert head.signals.backoff_s is None
    assert head.headers == [(b"Retry-After", b"3")]


def test_503_without_retry_after_sets_no_backoff():
    assert WIRE.read_reply(503, [(b"Not-Executed", b"1")]).signals == HeadSignals()


@pytest.mark.parametrize(
    ("values", "is_draining", "is_malformed"),
    [
        ([], False, False),
        ([b"1"], True, False),
        ([b" 1 "], True, False),
        ([b"0"], False, False),
        ([b"0", b"1"], True, False),
        ([b"1, 1"], True, False),
        ([b"yes", b"1"], True, True),
        ([b"yes"], False, True),
        ([b"-1"], False, True),
        ([b"1.0"], False, True),
        ([b"11"], False, True),
        ([b""], False, True),
        ([b"\xff\xfe"], False, True),
        ([b"1" * 300], False, True),
    ],
)
def test_the_draining_signal_is_read_in_all_its_forms(values, is_draining, is_malformed):
    signals = WIRE.read_reply(200, [(b"server-LEAVING", value) for value in values]).signals
    assert signals.is_draining is is_draining
    assert signals.malformed == (("server-leaving",) if is_malformed else ())


def test_headers_that_are_not_in_the_register_are_reported_as_unknown():
    headers = [(b"Date", b"now"), (b"Server-Mood", b"low"), (b"Attempt-Id", b"a")]
    assert WIRE.read_reply(200, headers).signals.unknown == ((b"server-mood", b"low"),)


# A request that named a field in ``Connection`` that the message needs could not be sent on.
@pytest.mark.parametrize(
    "name", [b"host", b"Host", b"attempt-id", b"Token-Count", b"prompt-prefix"]
)
def test_fields_that_a_message_needs_go_on_though_connection_names_them(name: bytes):
    req = read((b"Connection", b"keep-alive, " + name))
    sent = {key.lower() for key, _ in WIRE.call_headers(req, METADATA)}
    assert name.lower() in sent
    assert b"x-own" in sent


def test_fields_that_any_connection_header_names_do_not_go_on():
    req = read((b"Connection", b"close"), (b"Connection", b"x-own, x-other"), (b"X-Other", b"2"))
    sent = {key.lower() for key, _ in WIRE.call_headers(req, METADATA)}
    assert not sent & {b"x-own", b"x-other", b"connection"}


def test_a_reply_keeps_its_signature_though_connection_names_it():
    headers = [(b"Connection", b"response-signature, x-hop"), (b"Response-Signature", b"s")]
    head = WIRE.read_reply(200, [*headers, (b"X-Hop", b"1")])
    assert head.is_signed
    assert [name for name, _ in head.headers] == [b"Response-Signature"]

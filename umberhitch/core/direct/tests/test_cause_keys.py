"""The key of a request depends on its customer, path and body only."""

from dataclasses import replace

from umberhitch.core.direct import CallerRequest, Customer, request_key

REQUEST = CallerRequest(
    "q1", b"POST", b"/draft/x?a=1", "models.example", "/draft/x", [], "k", 10.0, body=b"b"
)
ONE, OTHER = Customer("one"), Customer("other")


def test_a_resent_request_has_the_same_key():
    resent = replace(REQUEST, call_id="q2", headers=[(b"A", b"b")], key="k2", patience_s=1.0)
    assert request_key(resent, Customer("one", priority=2)) == request_key(REQUEST, ONE)
    assert request_key(replace(REQUEST, host="MODELS.example"), ONE) == request_key(REQUEST, ONE)


def test_another_customer_path_or_body_gives_another_key():
    requests = [REQUEST, replace(REQUEST, path="/draft/y"), replace(REQUEST, body=b"c")]
    keys = {request_key(req, customer) for req in requests for customer in (ONE, OTHER, None)}
    assert len(keys) == 9


def test_the_query_counts_only_without_a_body():
    one = replace(REQUEST, body=b"")
    assert request_key(one, ONE) != request_key(replace(one, target=b"/draft/x?a=2"), ONE)
    assert request_key(REQUEST, ONE) == request_key(replace(REQUEST, target=b"/draft/x?a=2"), ONE)


def test_the_first_half_of_a_key_identifies_the_customer():
    keys = [request_key(replace(REQUEST, body=b"%d" % n), ONE)[:16] for n in range(5)]
    assert len({*keys}) == 1
    assert request_key(REQUEST, OTHER)[:16] not in keys

"""Two requests are the same by their customer, path and body, and by nothing else."""

from dataclasses import replace

from umberhitch.core.direct import CallerRequest, Customer, request_key

ASK = CallerRequest(
    "q1", b"POST", b"/draft/x?a=1", "models.example", "/draft/x", [], "k", 10.0, body=b"b"
)
ONE, OTHER = Customer("one"), Customer("other")


def test_a_request_that_comes_again_has_the_same_key():
    again = replace(ASK, call_id="q2", headers=[(b"A", b"b")], key="k2", patience_s=1.0)
    assert request_key(again, Customer("one", priority=2)) == request_key(ASK, ONE)
    assert request_key(replace(ASK, host="MODELS.example"), ONE) == request_key(ASK, ONE)


def test_another_customer_path_or_body_makes_another_request():
    asks = [ASK, replace(ASK, path="/draft/y"), replace(ASK, body=b"c")]
    keys = {request_key(ask, customer) for ask in asks for customer in (ONE, OTHER, None)}
    assert len(keys) == 9


def test_without_a_body_the_query_counts():
    one = replace(ASK, body=b"")
    assert request_key(one, ONE) != request_key(replace(one, target=b"/draft/x?a=2"), ONE)
    assert request_key(ASK, ONE) == request_key(replace(ASK, target=b"/draft/x?a=2"), ONE)


def test_the_first_half_of_a_key_is_the_customer():
    keys = [request_key(replace(ASK, body=b"%d" % n), ONE)[:16] for n in range(5)]
    assert len({*keys}) == 1
    assert request_key(ASK, OTHER)[:16] not in keys

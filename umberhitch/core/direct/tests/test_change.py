"""Diffing two configurations and applying the result."""

from dataclasses import replace

from hypothesis import given
from hypothesis import strategies as st

from umberhitch.core.direct import (
    Customer,
    Document,
    IntakeLimits,
    Route,
    RouteKind,
    RouteTable,
    Service,
    apply_change,
    diff_documents,
)

HOSTS = ("a.example", "A.example", "b.example")
PREFIXES = ("/", "/x/", "/x/y/")
KEYS = ("k1", "k2", "k3")

routes = st.builds(
    lambda host, prefix, priority: Route(
        f"{host}{prefix}", host, prefix, RouteKind.STREAM, 5.0, 1.0, priority, (("svc", 1.0),)
    ),
    st.sampled_from(HOSTS),
    st.sampled_from(PREFIXES),
    st.integers(0, 2),
)
documents = st.builds(
    Document,
    st.integers(1, 9),
    st.lists(routes, max_size=8).map(tuple),
    st.dictionaries(st.sampled_from(("s1", "s2")), st.builds(Service, st.just("s"))),
    st.dictionaries(st.sampled_from(KEYS), st.builds(Customer, st.sampled_from(("c1", "c2")))),
    st.builds(IntakeLimits, st.integers(1, 2)),
)


def _find_routes(document: Document) -> list[Route | None]:
    table = RouteTable(document)
    return [table.find(host, prefix + "z") for host in HOSTS for prefix in PREFIXES]


@given(documents, documents)
def test_applying_a_diff_yields_the_new_document(old, new):
    result = apply_change(old, diff_documents(old, new))
    assert result is not None
    assert _find_routes(result) == _find_routes(new)
    assert replace(result, routes=()) == replace(new, routes=())


@given(documents, documents)
def test_a_change_applies_only_to_its_base_document(old, new):
    other = replace(old, number=old.number + 1)
    assert apply_change(other, diff_documents(old, new)) is None

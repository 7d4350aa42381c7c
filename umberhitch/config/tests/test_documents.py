"""Configuration documents and the ready examples."""

from pathlib import Path

import pytest
from msgspec import json

from umberhitch.config import Config, Fold, encode_record
from umberhitch.config.documents import changes_to, parse_document
from umberhitch.errors import ConfigError
from umberhitch.settings import load_settings
from umberhitch.testing import make_document

EXAMPLES = Path(__file__).parents[3] / "examples"
DEPLOYMENTS = ["registry", "cedarline"]


def test_every_finding_comes_with_its_place() -> None:
    document = make_document(
        customers=[
            {"name": "a", "key_sha256": ["x"], "models": ["m"], "zz": 1},
            {"name": "b", "key_sha256": [], "models": ["m"], "limits": {"share": -1}},
        ],
        foo=1,
    )
    with pytest.raises(ConfigError) as caught:
        parse_document(document)
    places = [finding.place for finding in caught.value.findings]
    assert places == [
        "foo",
        "customers[0].zz",
        "customers[1].key_sha256",
        "customers[1].limits.share",
    ]


def test_references_are_reported_by_index() -> None:
    document = make_document(customers=[{"name": "a", "key_sha256": ["x"], "models": ["nope"]}])
    with pytest.raises(ConfigError) as caught:
        parse_document(document)
    assert str(caught.value) == 'customers[0].models[0]: unknown model "nope"'


def test_a_document_that_changes_nothing_has_no_operations() -> None:
    document = make_document()
    first = changes_to(document, Config(), "c1", "me")
    fold = Fold()
    fold.apply(0, encode_record(first))
    assert changes_to(document, fold.config, "c2", "me").ops == []


@pytest.mark.parametrize("name", DEPLOYMENTS)
def test_the_examples_are_valid(name: str) -> None:
    folder = EXAMPLES / name
    config = parse_document(json.decode((folder / "config.json").read_bytes()))
    assert len(config.customers) == 10
    files = sorted((folder / "settings").glob("*.json"))
    settings = [load_settings(path) for path in files]
    assert len({one.name for one in settings}) == len(files)
    assert len({one.zone for one in settings}) == 4

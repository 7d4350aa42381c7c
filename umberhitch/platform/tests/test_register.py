"""The register holds exactly the headers and fields that the adapter reads and sets."""

import re
from pathlib import Path

import umberhitch.platform
from umberhitch.platform._register import REGISTER

FOLDER = Path(umberhitch.platform.__file__).parent
HEADER = re.compile(r'b"([a-zA-Z]+(?:-[a-zA-Z]+)*)"')
NOT_HEADERS = {"get", "head", "bearer", "post", "application"}
"""Byte strings that are not header names: methods, the authorization scheme and a content type."""
HANDLED_ELSEWHERE = {"keep-alive", "connection", "transfer-encoding", "expect"}
"""Handled by the HTTP parser, or dropped as hop-by-hop headers."""
FIELD = re.compile(r"^    ([a-z_]+): ", re.MULTILINE)


def _names(kind: str, *uses: str) -> set[str]:
    return {entry.name.lower() for entry in REGISTER[kind] if entry.use in uses}


def _in_code() -> set[str]:
    code = (FOLDER / "_headers.py").read_text()
    return {name.lower() for name in HEADER.findall(code)} - NOT_HEADERS


def test_each_header_in_the_adapter_is_in_the_register():
    assert _in_code() - _names("headers", "read", "set", "passed") == set()


def test_each_header_that_is_read_or_set_is_in_the_adapter():
    assert _names("headers", "read", "set") - _in_code() - HANDLED_ELSEWHERE == set()


def test_no_header_is_listed_twice_for_one_direction():
    named = [(entry.name.lower(), entry.where) for entry in REGISTER["headers"]]
    assert len(named) == len(set(named))


def test_the_decoded_fields_are_those_of_the_register():
    code = (FOLDER / "_documents.py").read_text()
    structs = code[code.index("class _Split") : code.index("_config = ")]
    decoded = {name.replace("_", "") for name in FIELD.findall(structs)}
    used = _names("fields", "read", "set")
    assert decoded - _names("fields", "read", "set", "aside") == set()
    assert used - decoded == set()


def test_each_entry_has_a_reason():
    assert all(entry.why for kind in REGISTER.values() for entry in kind)

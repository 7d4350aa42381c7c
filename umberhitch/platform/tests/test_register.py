"""The register of the platform's words holds what the adapter reads and sets, and nothing else."""

import re
from pathlib import Path

import umberhitch.platform
from umberhitch.platform._register import REGISTER

FOLDER = Path(umberhitch.platform.__file__).parent
HEADER = re.compile(r'b"([a-zA-Z]+(?:-[a-zA-Z]+)*)"')
NO_HEADERS = {"get", "head", "bearer", "post", "application"}
"""Words in bytes that are no names of headers: methods, the scheme of keys."""
ELSEWHERE = {"keep-alive", "connection", "transfer-encoding", "expect"}
"""Read by the client's parser or dropped with all that concerns one connection."""
FIELD = re.compile(r"^    ([a-z_]+): ", re.MULTILINE)


def _names(kind: str, *uses: str) -> set[str]:
    return {each.name.lower() for each in REGISTER[kind] if each.use in uses}


def _in_code() -> set[str]:
    code = (FOLDER / "_headers.py").read_text()
    return {name.lower() for name in HEADER.findall(code)} - NO_HEADERS


def test_each_header_in_the_adapter_is_in_the_register():
    assert _in_code() - _names("headers", "read", "set", "passed") == set()


def test_each_header_that_is_read_or_set_is_in_the_adapter():
    assert _names("headers", "read", "set") - _in_code() - ELSEWHERE == set()


def test_no_header_stands_twice_for_one_direction():
    named = [(each.name.lower(), each.where) for each in REGISTER["headers"]]
    assert len(named) == len(set(named))


def test_each_field_that_is_decoded_is_in_the_register_and_each_registered_one_is_decoded():
    code = (FOLDER / "_documents.py").read_text()
    structs = code[code.index("class _Split") : code.index("_config = ")]
    decoded = {name.replace("_", "") for name in FIELD.findall(structs)}
    used = _names("fields", "read", "set")
    assert decoded - _names("fields", "read", "set", "aside") == set()
    assert used - decoded == set()


def test_what_is_left_aside_has_a_reason():
    assert all(each.why for kind in REGISTER.values() for each in kind)

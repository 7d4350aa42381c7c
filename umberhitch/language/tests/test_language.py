"""The operators' language: what statements compile to."""

import pytest

from umberhitch.adapters.operator_shapes import touches
from umberhitch.config import Change, Fold, Kind, Put, Rejected, encode_record
from umberhitch.language import LanguageError, compile_changes, parse_statements
from umberhitch.testing import make_change


def make_fold() -> Fold:
    fold = Fold()
    fold.apply(5, encode_record(make_change()))
    return fold


def compile_text(text: str, fold: Fold) -> list:
    return compile_changes(parse_statements(text), fold.snapshot().objects, fold.revisions)


def test_statements_see_what_the_ones_before_changed() -> None:
    ops = compile_text("permit acme x; set customer acme limits.burst = 3", make_fold())
    assert ops[1].value["models"] == ["m", "x"]
    assert ops[1].value["limits"]["burst"] == 3


def test_a_change_of_one_field_does_not_undo_another_operators() -> None:
    """Found by reading: the whole object was written without its revision."""
    fold = make_fold()
    mine = compile_text("set customer acme limits.burst = 3", fold)
    theirs = compile_text("forbid acme m", fold)
    fold.apply(6, encode_record(Change("theirs", "b", theirs)))
    assert isinstance(fold.apply(7, encode_record(Change("mine", "a", mine))), Rejected)
    assert fold.config.customers["acme"].models == []


def test_an_object_that_is_not_there_is_reported() -> None:
    with pytest.raises(LanguageError) as caught:
        compile_text("permit nobody m; set model x description = y", make_fold())
    assert len(caught.value.findings) == 2


def test_an_added_object_replaces_what_is_there() -> None:
    ops = compile_text(r'add model "{\"name\": \"x\"}"', make_fold())
    assert ops == [Put(Kind.MODEL, {"name": "x"})]


def test_text_in_quotes_may_hold_separators() -> None:
    (statement,) = parse_statements('set model m description = "a; b # c"')
    assert statement.value == "a; b # c"


def test_commands_work_while_there_is_a_rollout() -> None:
    """Found by reading: a roll-out's row has no ``name``, and every command failed on it."""
    fold = make_fold()
    plan = Put(Kind.ROLLOUT, {"version": "m@2", "previous": "m@1"})
    fold.apply(6, encode_record(Change("plan", "a", [plan])))
    (op,) = compile_text("permit acme x", fold)
    assert op.name == "acme"
    (op,) = compile_text("set rollout m@2 min_answers = 5", fold)
    assert (op.name, op.if_revision) == ("m@2", 6)


def test_a_change_knows_which_objects_it_touches() -> None:
    plan = Put(Kind.ROLLOUT, {"version": "m@2", "previous": "m@1"})
    change = Change("c", "a", [plan, Put(Kind.VERSION, {"model": "m", "name": "3"})])
    assert touches(change, "rollouts", "m@2")
    assert touches(change, "versions", "m@3")
    assert not touches(change, "versions", "m@2")

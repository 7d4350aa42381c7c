"""The fold of the configuration stream."""

from umberhitch.config import (
    Accepted,
    CatchUp,
    Fold,
    Ignored,
    Rejected,
    VersionState,
    encode_record,
)
from umberhitch.testing import make_change, make_state_change


def test_a_repeated_change_takes_effect_once() -> None:
    fold = Fold()
    data = encode_record(make_change())
    assert fold.apply(0, data) == Accepted("c1", 0)
    assert isinstance(fold.apply(1, data), Ignored)
    assert fold.revision == 1


def test_a_bad_change_alters_nothing_and_reports_every_finding() -> None:
    fold = Fold()
    fold.apply(0, encode_record(make_change()))
    before = fold.config
    bad = make_change("c2", customers=[{"name": "x", "key_sha256": ["k"], "models": ["u", "v"]}])
    verdict = fold.apply(1, encode_record(bad))
    assert isinstance(verdict, Rejected)
    assert [str(finding) for finding in verdict.findings] == [
        'customers[x].models[0]: unknown model "u"',
        'customers[x].models[1]: unknown model "v"',
    ]
    assert fold.config == before


def test_the_first_of_two_racing_changes_wins() -> None:
    fold = Fold()
    fold.apply(0, encode_record(make_change()))
    first = make_state_change("c2", "m@1", VersionState.RETIRED, if_revision=0)
    second = make_state_change("c3", "m@1", VersionState.WITHDRAWN, if_revision=0)
    assert isinstance(fold.apply(1, encode_record(first)), Accepted)
    assert isinstance(fold.apply(2, encode_record(second)), Rejected)
    assert fold.config.versions["m@1"].state is VersionState.RETIRED


def test_a_malformed_record_is_passed_over() -> None:
    fold = Fold()
    assert isinstance(fold.apply(0, b"nonsense"), Ignored)
    assert fold.apply(1, encode_record(make_change())) == Accepted("c1", 1)


def test_a_snapshot_closes_a_gap_with_the_records_behind_its_revision() -> None:
    source = Fold()
    records = [(0, encode_record(make_change()))]
    for offset, state in ((1, VersionState.RETIRED), (3, VersionState.ACTIVE)):
        records.append((offset, encode_record(make_state_change(f"c{offset}", "m@1", state))))
    source.apply(*records[0])
    source.apply(*records[1])
    snapshot = source.encoded_snapshot()
    source.apply(2, encode_record(make_state_change("c2", "m@2", VersionState.ACTIVE)))
    late = CatchUp(Fold())
    late.take([(2, encode_record(make_state_change("c2", "m@2", VersionState.ACTIVE)))])
    assert late.has_gap
    late.take([(3, snapshot)])
    assert not late.has_gap
    source.apply(3, snapshot)
    assert late.fold.config == source.config
    assert late.fold.revision == source.revision == 3

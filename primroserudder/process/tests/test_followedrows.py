"""Rows of a followed table whose store comes back from an older copy."""

from ...testing.fleetdata import ManualClock
from ..followedrows import RETURN_GRACE_S, WITHHOLDING_S, FollowedRows
from ..platform import Row
from ..tablepages import Change, ChangePage, StoreVersion, TablePage


def _row(key: str, revision: int, number: int = 0) -> Row:
    return Row(key, revision, {'number': number})


def _loaded(clock: ManualClock, *rows: Row) -> FollowedRows:
    followed = FollowedRows(clock)
    followed.replace(TablePage(rows, revision=50, era=1))
    return followed


def _age(row: Row) -> tuple[int, ...]:
    return (int(str(row.fields['number'])),)


def _numbers(followed: FollowedRows) -> dict[str, object]:
    return {key: row.fields['number'] for key, row in followed.by_key.items()}


def test_version_goes_back_with_the_store() -> None:
    followed = _loaded(ManualClock(), _row('a', 40))
    followed.replace(TablePage((_row('a', 20),), revision=30, era=2))
    assert followed.version == StoreVersion(2, 30)
    assert followed.newest() == 20


def test_version_does_not_go_back_within_an_era() -> None:
    followed = _loaded(ManualClock(), _row('a', 40))
    followed.replace(TablePage((_row('a', 40),), revision=45, era=1))
    assert followed.version == StoreVersion(1, 50)


def test_row_of_the_lost_seconds_stays_until_its_writer_had_time() -> None:
    clock = ManualClock()
    followed = _loaded(clock, _row('a', 40), _row('b', 41))
    followed.replace(TablePage((_row('a', 20),), revision=30, era=2))
    assert set(followed.by_key) == {'a', 'b'}
    assert not followed.is_stored('b')
    clock.advance(RETURN_GRACE_S)
    assert followed.settle()
    assert set(followed.by_key) == {'a'}


def test_row_of_the_lost_seconds_that_is_written_again_stays() -> None:
    clock = ManualClock()
    followed = _loaded(clock, _row('b', 41))
    followed.replace(TablePage((), revision=30, era=2))
    changed = Change('b', _row('b', 31, number=2))
    followed.apply(ChangePage((changed,), 31, era=2))
    clock.advance(2 * RETURN_GRACE_S)
    followed.settle()
    assert _numbers(followed) == {'b': 2}


def test_removed_row_does_not_return_before_its_writer_would_lapse() -> None:
    clock = ManualClock()
    followed = _loaded(clock, _row('a', 40))
    followed.apply(ChangePage((Change('a', None),), 51, era=1))
    followed.replace(TablePage((_row('a', 20),), revision=30, era=2))
    assert not followed.by_key
    clock.advance(WITHHOLDING_S)
    followed.settle()
    assert set(followed.by_key) == {'a'}


def test_removed_row_returns_once_its_writer_writes_it_again() -> None:
    followed = _loaded(ManualClock(), _row('a', 40))
    followed.apply(ChangePage((Change('a', None),), 51, era=1))
    followed.replace(TablePage((_row('a', 20),), revision=30, era=2))
    again = Change('a', _row('a', 31))
    assert followed.apply(ChangePage((again,), 31, count=1, era=2))
    assert set(followed.by_key) == {'a'}


def test_older_content_does_not_replace_a_newer_one() -> None:
    followed = FollowedRows(ManualClock(), _age)
    followed.replace(TablePage((_row('a', 40, number=7),), 50, era=1))
    followed.replace(TablePage((_row('a', 20, number=6),), 30, era=2))
    assert _numbers(followed) == {'a': 7}
    followed.replace(TablePage((_row('a', 35, number=8),), 36, era=2))
    assert _numbers(followed) == {'a': 8}


def test_restored_content_holds_where_contents_do_not_tell_their_age() -> None:
    followed = _loaded(ManualClock(), _row('a', 40, number=7))
    followed.replace(TablePage((_row('a', 20, number=6),), 30, era=2))
    assert _numbers(followed) == {'a': 6}


def test_version_of_another_era_counts_as_changed() -> None:
    followed = _loaded(ManualClock(), _row('a', 40))
    assert followed.is_unchanged(StoreVersion(1, 50))
    assert not followed.is_unchanged(StoreVersion(0, 50))
    assert not followed.is_unchanged(StoreVersion(2, 50))


def test_rows_are_kept_for_the_time_that_their_writers_need() -> None:
    clock = ManualClock()
    followed = _loaded(clock, _row('a', 40))
    followed.kept_s = 2 * RETURN_GRACE_S
    followed.replace(TablePage((), revision=30, era=2))
    clock.advance(RETURN_GRACE_S)
    assert not followed.settle()
    assert set(followed.by_key) == {'a'}
    clock.advance(RETURN_GRACE_S)
    assert followed.settle()
    assert not followed.by_key


def test_table_that_withholds_nothing_shows_removed_rows_at_once() -> None:
    # A row that was written anew looks the same as one of the copy.
    followed = _loaded(ManualClock(), _row('a', 40))
    followed.withheld_s = 0
    followed.apply(ChangePage((Change('a', None),), 51, era=1))
    followed.replace(TablePage((_row('a', 31),), revision=31, era=2))
    followed.settle()
    assert set(followed.by_key) == {'a'}

"""Large rows travel as patches between routers that hold the same base."""

import pytest

from ....process.platform import Row
from ....testing.largeversions import large_configuration
from .. import rowhistory as rowhistory_module
from ..messages import HeldRows, RowMessage, TableMessage
from ..rowhistory import KEPT_CONTENTS, RowHistory
from ..rowpatch import PatchMismatch

KEY = 'op/config'
ROUTES = 40


def _row(revision: int, routes: int = ROUTES) -> Row:
    return Row(KEY, revision, large_configuration(revision, routes))


def _history(*revisions: int, era: int = 0) -> RowHistory:
    history = RowHistory()
    for revision in revisions:
        history.keep(era, _row(revision))
    return history


def _message(row: RowMessage, era: int = 0) -> TableMessage:
    return TableMessage(revision=9, count=1, era=era, rows=(row,))


def test_holder_of_a_base_gets_a_patch_and_makes_the_row() -> None:
    relay = _history(5, 8)
    reader = _history(5)
    patch = relay.patch(0, _row(8), reader.held('op'))
    assert patch is not None
    message = RowMessage(key=KEY, revision=8, patch=patch)
    assert reader.rows(_message(message)) == (_row(8),)
    assert reader.held('op') == HeldRows(0, (5, 8))


def test_row_that_the_reader_holds_is_sent_as_an_empty_patch() -> None:
    patch = _history(5).patch(0, _row(5), HeldRows(0, (5,)))
    assert patch is not None
    assert not patch.assigned
    assert not patch.listed


@pytest.mark.parametrize(
    'held', [HeldRows(0), HeldRows(0, (4,)), HeldRows(1, (5,))]
)
def test_reader_without_the_base_gets_the_whole_row(held: HeldRows) -> None:
    assert _history(5, 8).patch(0, _row(8), held) is None


def test_small_rows_and_rows_kept_from_before_a_restore_are_not_kept() -> None:
    history = RowHistory()
    history.keep(0, _row(5, routes=2))
    history.keep(0, _row(1))
    assert history.held('op') == HeldRows(0)


def test_contents_of_an_earlier_era_are_forgotten() -> None:
    history = _history(5, 8)
    history.keep(1, _row(6))
    assert history.held('op') == HeldRows(1, (6,))


def test_only_the_last_contents_are_kept() -> None:
    history = _history(*range(2, 20))
    assert len(history.held('op').revisions) == KEPT_CONTENTS


def test_patch_of_an_unknown_base_is_refused() -> None:
    patch = _history(5, 8).patch(0, _row(8), HeldRows(0, (5,)))
    message = RowMessage(key=KEY, revision=8, patch=patch)
    for reader in (_history(4), _history(5, era=1)):
        with pytest.raises(PatchMismatch):
            reader.rows(_message(message))


def test_patch_that_was_received_is_passed_on(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """To compare thousands of routes again would hold up a slow VM."""
    patch = _history(5, 8).patch(0, _row(8), HeldRows(0, (5,)))
    parent = _history(5)

    def fail(*_: object) -> None:
        raise AssertionError('the rows were compared again')

    monkeypatch.setattr(rowhistory_module, 'make_patch', fail)
    parent.rows(_message(RowMessage(key=KEY, revision=8, patch=patch)))
    assert parent.patch(0, _row(8), HeldRows(0, (5,))) == patch

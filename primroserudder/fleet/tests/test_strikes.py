"""A request that loses groups is found by its content, at every VM."""

from ...testing.fleetdata import call
from ..strikes import StrikeRegistry, content_digest


async def test_the_same_content_is_known_under_another_id() -> None:
    first = call(headers={'X-Primroserudder-Attempt-Id': 'one'})
    second = call(headers={'X-Primroserudder-Attempt-Id': 'two'})
    assert content_digest(first) == content_digest(second)
    assert content_digest(call(body=b'other')) != content_digest(first)


def test_strikes_at_other_vms_add_up() -> None:
    books = [StrikeRegistry() for _ in range(3)]
    for number, book in enumerate(books):
        book.strike('digest', f'small.{number}')
    for teller in books:
        for book in books:
            book.merge(teller.recent())
    assert all(book.is_quarantined('digest') for book in books)


def test_one_lost_group_is_one_strike_however_often_it_is_told() -> None:
    book = StrikeRegistry()
    for _ in range(5):
        book.merge(('digest=small.1',))
    assert not book.is_quarantined('digest')


def test_content_that_was_complete_once_is_innocent() -> None:
    book = StrikeRegistry()
    book.strike('digest', 'small.1')
    book.clear('digest')
    for number in range(2, 6):
        book.strike('digest', f'small.{number}')
    assert not book.is_quarantined('digest')

"""Tests of the version in force."""

import pytest

from ...errors import InvariantViolation
from ...testing import builders
from ..delta import apply_delta, make_delta
from ..document import ConfigurationError
from ..holder import VersionHolder, body_digest

BODY = builders.document_body()
NEWER_FORMAT = builders.document_body(format=2)


def test_body_that_does_not_match_its_digest_is_refused() -> None:
    holder = VersionHolder()
    truncated = BODY[:-1]
    with pytest.raises(ConfigurationError, match='digest'):
        holder.offer_body(1, body_digest(BODY), truncated)
    assert holder.current.number == 0
    assert holder.should_fetch(1)


def test_unreadable_version_is_dumped_and_not_fetched_again() -> None:
    holder = VersionHolder()
    holder.offer(builders.version(1))
    assert not holder.offer_body(2, body_digest(NEWER_FORMAT), NEWER_FORMAT)
    assert holder.current.number == 1
    assert not holder.should_fetch(2)
    assert holder.dump()['refused'] == {
        'number': 2,
        'digest': body_digest(NEWER_FORMAT),
        'reason': 'version 2: format: got 2: Input should be 1',
    }
    assert holder.should_fetch(3)
    assert holder.offer_body(3, body_digest(BODY), BODY)
    assert holder.dump()['refused'] is None


def test_two_documents_with_one_number_violate_an_invariant() -> None:
    holder = VersionHolder()
    holder.offer(builders.version(1))
    with pytest.raises(InvariantViolation, match='one_document_per_version'):
        holder.offer(builders.version(1, workspaces={}))


@pytest.mark.parametrize(
    ('base', 'document'),
    [
        (b'', b''),
        (b'', b'abc'),
        (b'abc', b''),
        (b'aaaa', b'aaa'),
        (b'aXa', b'aXaXa'),
        (BODY, builders.document_body(workspaces={})),
    ],
)
def test_applied_delta_restores_the_document(
    base: bytes, document: bytes
) -> None:
    delta = make_delta(base, document)
    assert apply_delta(base, delta) == document
    assert len(delta.middle) <= len(document)

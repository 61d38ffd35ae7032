"""Tests of the version in force."""

import pytest

from ...errors import InvariantViolation
from ...testing import builders
from ..delta import apply_delta, make_delta
from ..document import ConfigurationError
from ..holder import VersionHolder, body_digest

BODY = builders.document_body()
NEWER_FORMAT = builders.document_body(format=2)


def test_body_that_its_digest_does_not_name_is_refused() -> None:
    holder = VersionHolder()
    torn = BODY[:-1]
    with pytest.raises(ConfigurationError, match='digest'):
        holder.offer_body(1, body_digest(BODY), torn)
    assert holder.current.number == 0
    assert holder.wants(1)


def test_version_that_cannot_be_read_is_shown_and_not_asked_again() -> None:
    holder = VersionHolder()
    holder.offer(builders.version(1))
    assert not holder.offer_body(2, body_digest(NEWER_FORMAT), NEWER_FORMAT)
    assert holder.current.number == 1
    assert not holder.wants(2)
    assert holder.dump()['refused'] == {
        'number': 2,
        'digest': body_digest(NEWER_FORMAT),
        'reason': 'version 2: format: got 2: Input should be 1',
    }
    assert holder.wants(3)
    assert holder.offer_body(3, body_digest(BODY), BODY)
    assert holder.dump()['refused'] is None


def test_two_documents_of_one_number_violate_an_invariant() -> None:
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
def test_delta_gives_the_document_back(base: bytes, document: bytes) -> None:
    delta = make_delta(base, document)
    assert apply_delta(base, delta) == document
    assert len(delta.middle) <= len(document)

"""Tests of template rendering and parameter validation."""

from typing import Any

import pytest

from ...testing import builders
from ..document import ConfigurationError
from ..holder import make_version

_INVALID_DOCUMENTS: dict[str, tuple[dict[str, Any], str]] = {
    'unknown pool': ({'pools': {}}, 'deployments.ledger-model.pool'),
    'no such template': ({'templates': {}}, 'services.ledger.template'),
    'wrong format': ({'format': 2}, 'format'),
    'unknown field': ({'colour': 'red'}, 'colour'),
}


def _with_max_tokens(given: object) -> bytes:
    document: dict[str, Any] = builders.document()
    workspace = document['workspaces'][builders.WORKSPACE]
    workspace['services']['ledger']['values'] = {'max-tokens': given}
    return builders.document_body(**document)


def test_parameter_values_are_rendered_into_the_service() -> None:
    version = make_version(1, _with_max_tokens(7))
    services = version.rendered.services_by_workspace[builders.WORKSPACE]
    assert services['ledger'].max_tokens == 7


@pytest.mark.parametrize('name', _INVALID_DOCUMENTS)
def test_error_for_invalid_document_names_the_path(name: str) -> None:
    changes, path = _INVALID_DOCUMENTS[name]
    with pytest.raises(ConfigurationError, match=path):
        make_version(1, builders.document_body(**changes))


@pytest.mark.parametrize('given', ['many', True, 1.5])
def test_error_for_value_of_wrong_type_names_the_parameter(
    given: object,
) -> None:
    with pytest.raises(ConfigurationError, match='values.max-tokens'):
        make_version(1, _with_max_tokens(given))

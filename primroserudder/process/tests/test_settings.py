"""Tests of settings, their reference page and the example files."""

import pathlib
from collections.abc import Iterator

import pytest
from pydantic import BaseModel

from ..settings import (
    ControllerSettings,
    EntrySettings,
    NodeSettings,
    TlsFiles,
    read_settings,
)

REFERENCE = pathlib.Path('docs/reference/settings.md')


def _setting_paths(model: type[BaseModel], prefix: str = '') -> Iterator[str]:
    for name, field in model.model_fields.items():
        inner = field.annotation
        if isinstance(inner, type) and issubclass(inner, BaseModel):
            yield from _setting_paths(inner, f'{prefix}{name}.')
        elif name != 'tls':
            yield f'{prefix}{name}'


@pytest.mark.parametrize(
    'model',
    [EntrySettings, ControllerSettings, TlsFiles],
)
def test_reference_names_every_setting(model: type[BaseModel]) -> None:
    prefix = 'tls.' if model is TlsFiles else ''
    page = REFERENCE.read_text()
    missing = [
        path for path in _setting_paths(model, prefix) if path not in page
    ]
    assert not missing


@pytest.mark.parametrize('kind', ['entry', 'controller'])
@pytest.mark.parametrize('domain', ['fd-1', 'fd-2', 'fd-3'])
def test_example_files_are_valid(kind: str, domain: str) -> None:
    path = pathlib.Path(f'examples/three-domains/{kind}-{domain}.json')
    models: dict[str, type[NodeSettings]] = {
        'entry': EntrySettings,
        'controller': ControllerSettings,
    }
    assert read_settings(path, models[kind]).failure_domain == domain

"""Invalid files give one line that names the fault, and change nothing."""

import copy
import json
import pathlib
from collections.abc import Callable, Mapping
from typing import Any, TypeAlias

import pytest

from ...standins.memory import MemoryPlatform
from ...testing import builders
from ...version.document import ConfigurationError
from ...version.store import VersionStore
from .. import ctl, entry
from ..common import EXIT_REFUSED, EXIT_USAGE
from ..operatorclient import Refused

Mutation: TypeAlias = Callable[[dict[str, Any]], object]
CLOSED_URL = 'http://127.0.0.1:9'


def _template(document: dict[str, Any]) -> dict[str, Any]:
    template: dict[str, Any] = document['templates']['ledger']
    return template


def _parameter(document: dict[str, Any]) -> dict[str, Any]:
    parameter: dict[str, Any] = _template(document)['parameters']['max-tokens']
    return parameter


def _service(document: dict[str, Any]) -> dict[str, Any]:
    service: dict[str, Any] = _template(document)['service']
    return service


def _binding(document: dict[str, Any]) -> dict[str, Any]:
    workspace = document['workspaces'][builders.WORKSPACE]
    binding: dict[str, Any] = workspace['services']['ledger']
    return binding


BROKEN_TEMPLATES: Mapping[str, tuple[Mutation, str]] = {
    'no service': (lambda doc: _template(doc).pop('service'), 'service'),
    'unknown field': (
        lambda doc: _template(doc).update(colour=1),
        'templates.ledger.colour',
    ),
    'parameter type': (
        lambda doc: _parameter(doc).update(type='text'),
        'parameters.max-tokens.type',
    ),
    'parameter name': (
        lambda doc: _template(doc).update(parameters={'A b': {}}),
        'parameters.A b',
    ),
    'parameter field': (
        lambda doc: _parameter(doc).update(most=3),
        'max-tokens.most',
    ),
    'unknown parameter used': (
        lambda doc: _service(doc).update(weight={'$param': 'weight'}),
        "parameter 'weight'",
    ),
    'required value': (
        lambda doc: _parameter(doc).pop('default'),
        'values.max-tokens: got nothing',
    ),
    'default below minimum': (
        lambda doc: _parameter(doc).update(minimum=100),
        'expected at least 100',
    ),
    'default above maximum': (
        lambda doc: _parameter(doc).update(maximum=10),
        'expected at most 10',
    ),
    'default no choice': (
        lambda doc: _parameter(doc).update(choices=[1, 2]),
        'expected one of',
    ),
    'value of another type': (
        lambda doc: _binding(doc).update(values={'max-tokens': 'x'}),
        "values.max-tokens: got 'x'",
    ),
    'unknown value': (
        lambda doc: _binding(doc).update(values={'colour': 1}),
        "values: got ['colour']",
    ),
    'unknown template': (
        lambda doc: _binding(doc).update(template='other'),
        "template: got 'other'",
    ),
    'no deployment': (
        lambda doc: _service(doc).pop('deployment'),
        'deployment',
    ),
    'unknown deployment': (
        lambda doc: _service(doc).update(deployment='other'),
        "deployment: got 'other'",
    ),
    'unknown adapter': (
        lambda doc: _service(doc).update(adapter='a1'),
        "adapter: got 'a1'",
    ),
    'service field': (
        lambda doc: _service(doc).update(colour='red'),
        'colour: got',
    ),
    'priority': (lambda doc: _service(doc).update(priority=10), 'priority'),
    'weight': (lambda doc: _service(doc).update(weight=0), 'weight'),
    'limits': (
        lambda doc: _service(doc).update(limits={'concurrency': 0}),
        'limits.concurrency',
    ),
    'template that nobody uses': (
        lambda doc: doc['templates'].update(
            idle={'service': {'weight': {'$param': 'heavy'}}},
        ),
        "templates.idle.service: template uses parameter 'heavy'",
    ),
    'no object': (lambda doc: doc.update(templates=[]), 'templates'),
}

_VALID_SETTINGS: Mapping[str, Any] = {
    'node_id': 'entry-1',
    'failure_domain': 'fd-1',
    'platform': {'url': 'http://127.0.0.1:1'},
    'operators': {'port': 1},
    'operators_token': 'token-token',
    'peers': {'port': 2},
    'callers': {'port': 3},
}

BROKEN_SETTINGS: Mapping[str, tuple[Mapping[str, Any], str]] = {
    'node id': ({'node_id': 'Entry 1'}, 'node_id'),
    'empty node id': ({'node_id': ''}, 'node_id'),
    'failure domain': ({'failure_domain': None}, 'failure_domain'),
    'region': ({'region': 7}, 'region'),
    'platform': ({'platform': 'http://127.0.0.1:1'}, 'platform'),
    'platform url': ({'platform': {'url': '127.0.0.1'}}, 'platform.url'),
    'platform timeout': (
        {'platform': {'url': 'http://a', 'timeout_s': 0}},
        'platform.timeout_s',
    ),
    'no operators': ({'operators': None}, 'operators'),
    'port too high': ({'operators': {'port': 65536}}, 'operators.port'),
    'port too low': ({'callers': {'port': -1}}, 'callers.port'),
    'port is text': ({'peers': {'port': 'http'}}, 'peers.port'),
    'no port': ({'callers': {}}, 'callers.port'),
    'short token': ({'operators_token': 'short'}, 'operators_token'),
    'token kind': ({'operators_token': 12345678}, 'operators_token'),
    'seeds': ({'peer_seeds': '127.0.0.1:1'}, 'peer_seeds'),
    'tls key': (
        {'callers': {'port': 1, 'tls': {'certificate': 'a'}}},
        'callers.tls.key',
    ),
    'log level': ({'logs': {'level': 'LOUD'}}, 'logs.level'),
    'log field': ({'logs': {'colour': True}}, 'logs.colour'),
    'body size': ({'max_body_bytes': 0}, 'max_body_bytes'),
    'unknown field': ({'colour': 'red'}, 'colour'),
}


def _broken_body(name: str) -> bytes:
    document = copy.deepcopy(builders.document())
    mutate, _ = BROKEN_TEMPLATES[name]
    mutate(document)
    return json.dumps(document).encode()


def _run(
    program: Callable[[], None],
    monkeypatch: pytest.MonkeyPatch,
    *arguments: str,
) -> int:
    monkeypatch.setattr('sys.argv', ['program', *arguments])
    codes: list[int] = []
    monkeypatch.setattr('sys.exit', codes.append)
    program()
    return codes[0]


@pytest.mark.parametrize('name', BROKEN_TEMPLATES)
def test_apply_names_the_fault_of_a_broken_template(
    name: str,
    tmp_path: pathlib.Path,
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
) -> None:
    path = tmp_path / 'broken.json'
    path.write_bytes(_broken_body(name))
    # Nothing listens at the URL, so a command that used it would exit with
    # EXIT_UNREACHABLE.
    code = _run(ctl.main, monkeypatch, '--url', CLOSED_URL, 'apply', str(path))
    error_text = capsys.readouterr().err
    assert code == EXIT_REFUSED
    assert error_text.startswith(f'bad_configuration: {path}: ')
    assert BROKEN_TEMPLATES[name][1] in error_text
    assert error_text.count('\n') == 1


@pytest.mark.parametrize('name', BROKEN_TEMPLATES)
async def test_broken_template_changes_nothing(name: str) -> None:
    memory = MemoryPlatform()
    with pytest.raises(ConfigurationError):
        await VersionStore(memory).submit(_broken_body(name), 0, 's1')
    assert memory.usage.writes == 0


@pytest.mark.parametrize('name', BROKEN_SETTINGS)
def test_check_names_the_fault_of_broken_settings(
    name: str,
    tmp_path: pathlib.Path,
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
) -> None:
    changes, field_path = BROKEN_SETTINGS[name]
    path = tmp_path / 'broken.json'
    path.write_text(json.dumps({**_VALID_SETTINGS, **changes}))
    code = _run(entry.main, monkeypatch, '--settings', str(path), '--check')
    error_text = capsys.readouterr().err
    assert code == EXIT_USAGE
    assert error_text.startswith(f'bad_settings: {path}: {field_path}: got ')
    assert error_text.count('\n') == 1


def test_check_accepts_the_settings_without_changes(
    tmp_path: pathlib.Path,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    path = tmp_path / 'whole.json'
    path.write_text(json.dumps(_VALID_SETTINGS))
    code = _run(entry.main, monkeypatch, '--settings', str(path), '--check')
    assert code == 0


@pytest.mark.parametrize(
    'arguments',
    [
        ('--colour', 'status'),
        ('status', '--colour'),
        ('stop', 'plan', 'moon', 'x'),
        (),
    ],
)
def test_wrong_usage_gives_one_line_with_the_remedy(
    arguments: tuple[str, ...],
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
) -> None:
    monkeypatch.setattr('sys.argv', ['rudderctl', *arguments])
    with pytest.raises(SystemExit):
        ctl.main()
    error_text = capsys.readouterr().err
    assert error_text.startswith('wrong_use: ')
    assert '; see rudderctl' in error_text
    assert error_text.count('\n') == 1


@pytest.mark.parametrize(
    ('code', 'expected'),
    [('submission_unknown', True), ('version_conflict', False)],
)
def test_unknown_outcome_is_not_taken_for_a_refusal(
    code: str,
    expected: bool,
) -> None:
    assert Refused({'code': code}).is_outcome_unknown is expected

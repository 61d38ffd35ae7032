"""Wrong settings and taken ports are told in one line."""

import json
import pathlib
import socket
import subprocess
import sys

import pytest

from ...fleet.ports import PortTaken
from ...fleet.router import Router
from ...fleet.settings import RouterSettings
from ...testing.platformsite import free_ports

GOOD = {
    'node': 'vm-1',
    'ip': '127.0.0.1',
    'failure_domain': 'fd-1',
    'callers': '127.0.0.1:8001',
    'readiness': '127.0.0.1:8002',
    'inner_ports': [7000, 7010],
    'store': '127.0.0.1:9000',
}


def _run(path: pathlib.Path, *flags: str) -> 'subprocess.CompletedProcess[str]':
    return subprocess.run(
        [
            sys.executable,
            '-m',
            'primroserudder.programs.router',
            '--settings',
            str(path),
            *flags,
        ],
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )


def test_good_settings_are_ok(tmp_path: pathlib.Path) -> None:
    path = tmp_path / 'node.json'
    path.write_text(json.dumps(GOOD))
    done = _run(path, '--check')
    assert (done.returncode, done.stderr) == (0, '')


@pytest.mark.parametrize(
    ('change', 'named'),
    [
        ({'callers': 'here'}, 'callers'),
        ({'store': None}, 'store'),
        ({'inner_ports': [1]}, 'inner_ports'),
        ({'grace_s': 0}, 'grace_s'),
        ({'repeats': {'ratio': -1}}, 'repeats.ratio'),
        ({'ip': 'localhost'}, 'ip'),
    ],
)
def test_wrong_setting_is_named_in_one_line(
    tmp_path: pathlib.Path,
    change: dict[str, object],
    named: str,
) -> None:
    path = tmp_path / 'node.json'
    path.write_text(json.dumps({**GOOD, **change}))
    done = _run(path)
    assert done.returncode == 2
    assert done.stderr.count('\n') == 1
    assert named in done.stderr
    assert 'Traceback' not in done.stderr


def test_missing_file_is_told(tmp_path: pathlib.Path) -> None:
    done = _run(tmp_path / 'none.json')
    assert done.returncode == 2
    assert 'cannot be read' in done.stderr


def test_the_settings_template_fills_in_every_required_setting() -> None:
    root = pathlib.Path(__file__).parents[3]
    template = (root / 'deploy' / 'node.json').read_text()
    required = {
        name
        for name, one in RouterSettings.model_fields.items()
        if one.is_required()
    }
    assert all(f'"{name}"' in template for name in required)


async def test_port_in_use_is_told() -> None:
    ports = free_ports(4)
    with socket.socket() as taken:
        taken.bind(('127.0.0.1', 0))
        taken.listen()
        port = taken.getsockname()[1]
        address = f'127.0.0.1:{port}'
        settings = RouterSettings.model_validate(
            {
                **GOOD,
                'callers': address,
                'readiness': f'127.0.0.1:{ports[0]}',
                'inner_ports': ports[1:3],
                'metrics_port': ports[3],
            }
        )
        router = Router(settings)
        with pytest.raises(PortTaken, match=address):
            await router.start()
        await router.close()

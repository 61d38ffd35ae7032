"""Tests of the program ``rudder-router``: settings, ports and SIGHUP."""

import json
import pathlib
import re
import signal
import socket
import subprocess
import sys
import time

import pytest

from ...fleet.ports import PortTaken
from ...fleet.router import Router
from ...fleet.settings import RouterSettings
from ...testing.platformsite import free_ports

PROGRAM = 'primroserudder.programs.router'
SIGNAL_INTERVAL_S = 0.002
VALID_SETTINGS = {
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
            PROGRAM,
            '--settings',
            str(path),
            *flags,
        ],
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )


def test_valid_settings_are_accepted(tmp_path: pathlib.Path) -> None:
    path = tmp_path / 'node.json'
    path.write_text(json.dumps(VALID_SETTINGS))
    completed = _run(path, '--check')
    assert (completed.returncode, completed.stderr) == (0, '')


@pytest.mark.parametrize(
    ('change', 'setting_name'),
    [
        ({'callers': 'here'}, 'callers'),
        ({'store': None}, 'store'),
        ({'inner_ports': [1]}, 'inner_ports'),
        ({'grace_s': 0}, 'grace_s'),
        ({'repeats': {'ratio': -1}}, 'repeats.ratio'),
        ({'ip': 'localhost'}, 'ip'),
    ],
)
def test_invalid_setting_is_reported_in_one_line(
    tmp_path: pathlib.Path,
    change: dict[str, object],
    setting_name: str,
) -> None:
    path = tmp_path / 'node.json'
    path.write_text(json.dumps({**VALID_SETTINGS, **change}))
    completed = _run(path)
    assert completed.returncode == 2
    assert completed.stderr.count('\n') == 1
    assert setting_name in completed.stderr
    assert 'Traceback' not in completed.stderr


def test_missing_file_is_reported(tmp_path: pathlib.Path) -> None:
    completed = _run(tmp_path / 'none.json')
    assert completed.returncode == 2
    assert 'cannot be read' in completed.stderr


def test_the_settings_template_fills_in_every_required_setting() -> None:
    root = pathlib.Path(__file__).parents[3]
    template = (root / 'deploy' / 'node.json').read_text()
    required = {
        name
        for name, setting in RouterSettings.model_fields.items()
        if setting.is_required()
    }
    assert all(f'"{name}"' in template for name in required)


@pytest.mark.parametrize('zones', [{}, None])
def test_settings_without_regions_are_valid(zones: object) -> None:
    fields = {**VALID_SETTINGS, 'regions_by_domain': zones}
    assert RouterSettings.model_validate(fields).regions_by_domain == {}


async def test_port_in_use_is_reported() -> None:
    ports = free_ports(4)
    with socket.socket() as listener:
        listener.bind(('127.0.0.1', 0))
        listener.listen()
        port = listener.getsockname()[1]
        address = f'127.0.0.1:{port}'
        settings = RouterSettings.model_validate(
            {
                **VALID_SETTINGS,
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


def _ignores_sighup(pid: int) -> bool:
    status = pathlib.Path(f'/proc/{pid}/status').read_text()
    ignored_mask = re.search(r'SigIgn:\s*(\w+)', status)
    assert ignored_mask is not None
    return bool(int(ignored_mask[1], 16) & (1 << (signal.SIGHUP - 1)))


def test_sighup_does_not_end_a_starting_or_stopping_router(
    tmp_path: pathlib.Path,
) -> None:
    path = tmp_path / 'node.json'
    ports = free_ports(5)
    changes = {
        'callers': f'127.0.0.1:{ports[0]}',
        'readiness': f'127.0.0.1:{ports[1]}',
        'inner_ports': ports[2:4],
        'metrics_port': ports[4],
        'grace_s': 2,
    }
    path.write_text(json.dumps({**VALID_SETTINGS, **changes}))
    process = subprocess.Popen(
        [sys.executable, '-m', PROGRAM, '--settings', str(path)],
        stdout=subprocess.PIPE,
    )
    with process:
        assert process.stdout is not None
        while not _ignores_sighup(process.pid):
            time.sleep(SIGNAL_INTERVAL_S)
        for _ in range(20):
            process.send_signal(signal.SIGHUP)
            time.sleep(SIGNAL_INTERVAL_S)
        assert b'"start"' in process.stdout.readline()
        process.terminate()
        while process.poll() is None:
            process.send_signal(signal.SIGHUP)
            time.sleep(SIGNAL_INTERVAL_S)
    assert process.returncode == 0

"""Settings files of a soak: a site of entries, controllers and stand-ins."""

import itertools
import pathlib
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from types import MappingProxyType

import orjson

from ..request.identity import hash_secret

FAILURE_DOMAINS = ('fd-1', 'fd-2', 'fd-3')
ENTRIES = 8
ENGINES_BY_DOMAIN: Mapping[str, int] = MappingProxyType(
    {'fd-1': 24, 'fd-2': 24, 'fd-3': 20},
)
GROUPS_BY_DOMAIN: Mapping[str, int] = MappingProxyType(
    {'fd-1': 5, 'fd-2': 5, 'fd-3': 4},
)
GROUP_SIZE = 4
VMS_PER_FABRIC_DOMAIN = 12
TOKEN = 'soak-operators-token'
SALT = 'soak-salt-0123456'
SECRET = 'soak-secret'
KEY = f'soak.{SECRET}'
MODEL = 'ledger'
PLAIN = 'refunds'
_PORTS_APART = 100
_ENGINE_PORTS_APART = 200
_CALLERS, _OPERATORS, _PEERS, _CONTROLLERS = range(4)


@dataclass(frozen=True, slots=True)
class SoakSite:
    """A site whose ports follow one first port."""

    first_port: int

    @property
    def platform_url(self) -> str:
        """Return where the platform's stand-in listens."""
        return f'http://127.0.0.1:{self.first_port}'

    @property
    def plain_url(self) -> str:
        """Return where the plain service's stand-in listens."""
        port = self.first_port + 1
        return f'http://127.0.0.1:{port}'

    def callers_url(self, index: int) -> str:
        """Return an entry's callers' port."""
        port = self._port(_CALLERS, index)
        return f'http://127.0.0.1:{port}'

    def operators_url(self, index: int) -> str:
        """Return an entry's operators' port."""
        port = self._port(_OPERATORS, index)
        return f'http://127.0.0.1:{port}'

    def controller_url(self, index: int) -> str:
        """Return a controller's operators' port."""
        port = self._port(_CONTROLLERS, index)
        return f'http://127.0.0.1:{port}'

    def engine_urls(self) -> Sequence[str]:
        """Return the ports of all engines."""
        return [
            f'http://127.0.0.1:{port}'
            for place, domain in enumerate(FAILURE_DOMAINS)
            for port in itertools.islice(
                itertools.count(self._engines_from(place)),
                ENGINES_BY_DOMAIN[domain],
            )
        ]

    def write(self, folder: pathlib.Path) -> None:
        """Write the settings files and the configuration into a folder."""
        _write(folder / 'standin.json', self._standins())
        for index in range(ENTRIES):
            _write(folder / f'entry-{index}.json', self._entry(index))
        for index, _ in enumerate(FAILURE_DOMAINS):
            settings = self._controller(index)
            _write(folder / f'controller-{index}.json', settings)
        _write(folder / 'config.json', self._configuration())

    def _port(self, kind: int, index: int) -> int:
        return self.first_port + _PORTS_APART * (kind + 1) + index

    def _engines_from(self, place: int) -> int:
        first = self.first_port + _PORTS_APART * (_CONTROLLERS + 2)
        return first + _ENGINE_PORTS_APART * place

    def _standins(self) -> dict[str, object]:
        fleets = [
            {
                'failure_domain': domain,
                'pool': 'soak',
                'first_port': self._engines_from(place),
                'count': ENGINES_BY_DOMAIN[domain],
                'vms_per_fabric_domain': VMS_PER_FABRIC_DOMAIN,
            }
            for place, domain in enumerate(FAILURE_DOMAINS)
        ]
        return {
            'platform_port': self.first_port,
            'fleets': fleets,
            'plain': [{'name': PLAIN, 'port': self.first_port + 1}],
        }

    def _entry(self, index: int) -> dict[str, object]:
        return {
            'node_id': f'entry-{index}',
            'callers': {'port': self._port(_CALLERS, index)},
            **self._node(index),
            'operators': {'port': self._port(_OPERATORS, index)},
            'peers': {'port': self._port(_PEERS, index)},
        }

    def _controller(self, index: int) -> dict[str, object]:
        place = ENTRIES + index
        return {
            'node_id': f'controller-{index}',
            **self._node(index),
            'operators': {'port': self._port(_CONTROLLERS, index)},
            'peers': {'port': self._port(_PEERS, place)},
        }

    def _node(self, index: int) -> dict[str, object]:
        return {
            'failure_domain': FAILURE_DOMAINS[index % len(FAILURE_DOMAINS)],
            'platform': {'url': self.platform_url},
            'operators_token': TOKEN,
            'peer_seeds': [
                f'127.0.0.1:{self._port(_PEERS, seed)}'
                for seed, _ in enumerate(FAILURE_DOMAINS)
            ],
            'logs': {'level': 'WARNING'},
        }

    def _configuration(self) -> dict[str, object]:
        return {
            'format': 1,
            'pools': {'soak': {'honours_fencing': True}},
            'deployments': {
                'ledger-model': {
                    'kind': 'model',
                    'pool': 'soak',
                    'model': 'ledger-7b',
                    'model_version': 'v1',
                    'group_size': GROUP_SIZE,
                    'groups_by_failure_domain': dict(GROUPS_BY_DOMAIN),
                },
                PLAIN: {
                    'kind': 'plain',
                    'endpoints': [
                        {'url': self.plain_url, 'failure_domain': domain}
                        for domain in FAILURE_DOMAINS
                    ],
                },
            },
            'templates': {
                MODEL: {'service': {'deployment': 'ledger-model'}},
                PLAIN: {'service': {'deployment': PLAIN}},
            },
            'workspaces': {
                'soak': {
                    'keys': {
                        'soak': {
                            'salt': SALT,
                            'sha256': hash_secret(SALT, SECRET),
                        },
                    },
                    'services': {
                        MODEL: {'template': MODEL},
                        PLAIN: {'template': PLAIN},
                    },
                },
            },
        }


def _write(path: pathlib.Path, body: Mapping[str, object]) -> None:
    path.write_bytes(orjson.dumps(body, option=orjson.OPT_INDENT_2))

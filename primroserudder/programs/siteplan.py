"""Writes settings files for a site of entries, controllers, stand-ins."""

import argparse
import itertools
import pathlib
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

import orjson

from ..request.authentication import hash_secret

FAILURE_DOMAINS = ('fd-1', 'fd-2', 'fd-3')
FIRST_PORT = 12000
ENTRIES = 8
ENGINES = (24, 24, 20)
GROUP_SIZE = 4
VMS_PER_FABRIC_DOMAIN = 12
TOKEN = 'site-operators-token'
SALT = 'site-salt-0123456'
SECRET = 'site-secret'
KEY = f'yard.{SECRET}'
MODEL = 'ledger'
PLAIN = 'refunds'
_PORTS_PER_KIND = 100
_ENGINE_PORTS_PER_DOMAIN = 1000
_CALLERS, _OPERATORS, _PEERS, _CONTROLLERS = range(4)


@dataclass(frozen=True, slots=True)
class Site:
    """A site whose ports are computed from its first port.

    Explanation
    ===========
    ``engines`` holds the number of engines of each failure domain. As many
    engines as one group needs are left as spares.
    """

    first_port: int
    entries: int = ENTRIES
    engines: tuple[int, ...] = ENGINES

    @property
    def groups_by_domain(self) -> Mapping[str, int]:
        """Return how many groups are configured for each failure domain."""
        return {
            domain: max(1, count // GROUP_SIZE - 1)
            for domain, count in zip(
                FAILURE_DOMAINS,
                self.engines,
                strict=True,
            )
        }

    @property
    def platform_url(self) -> str:
        """Return the URL of the stand-in of the platform."""
        return f'http://127.0.0.1:{self.first_port}'

    @property
    def plain_url(self) -> str:
        """Return the URL of the stand-in of the plain service."""
        port = self.first_port + 1
        return f'http://127.0.0.1:{port}'

    def callers_url(self, index: int) -> str:
        """Return the URL of the callers' port of an entry."""
        port = self._port(_CALLERS, index)
        return f'http://127.0.0.1:{port}'

    def operators_url(self, index: int) -> str:
        """Return the URL of the operators' port of an entry."""
        port = self._port(_OPERATORS, index)
        return f'http://127.0.0.1:{port}'

    def controller_url(self, index: int) -> str:
        """Return the URL of the operators' port of a controller."""
        port = self._port(_CONTROLLERS, index)
        return f'http://127.0.0.1:{port}'

    def engine_urls(self) -> Sequence[str]:
        """Return the URLs of all engines."""
        return [
            f'http://127.0.0.1:{port}'
            for domain_index, count in enumerate(self.engines)
            for port in itertools.islice(
                itertools.count(self._first_engine_port(domain_index)),
                count,
            )
        ]

    def write(self, folder: pathlib.Path) -> None:
        """Write the settings files and the configuration into a folder."""
        _write(folder / 'standin.json', self._standins())
        for index in range(self.entries):
            _write(folder / f'entry-{index}.json', self._entry(index))
        for index, _ in enumerate(FAILURE_DOMAINS):
            settings = self._controller(index)
            _write(folder / f'controller-{index}.json', settings)
        _write(folder / 'config.json', self._configuration())

    def _port(self, kind: int, index: int) -> int:
        return self.first_port + _PORTS_PER_KIND * (kind + 1) + index

    def _first_engine_port(self, domain_index: int) -> int:
        first = self.first_port + _PORTS_PER_KIND * (_CONTROLLERS + 2)
        return first + _ENGINE_PORTS_PER_DOMAIN * domain_index

    def _standins(self) -> dict[str, object]:
        fleets = [
            {
                'failure_domain': domain,
                'pool': 'site',
                'first_port': self._first_engine_port(domain_index),
                'count': self.engines[domain_index],
                'vms_per_fabric_domain': VMS_PER_FABRIC_DOMAIN,
            }
            for domain_index, domain in enumerate(FAILURE_DOMAINS)
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
        peer_index = self.entries + index
        return {
            'node_id': f'controller-{index}',
            **self._node(index),
            'operators': {'port': self._port(_CONTROLLERS, index)},
            'peers': {'port': self._port(_PEERS, peer_index)},
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
            'pools': {'site': {'honours_fencing': True}},
            'deployments': {
                'ledger-model': {
                    'kind': 'model',
                    'pool': 'site',
                    'model': 'ledger-7b',
                    'model_version': 'v1',
                    'group_size': GROUP_SIZE,
                    'groups_by_failure_domain': dict(self.groups_by_domain),
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
                'yard': {
                    'keys': {
                        'yard': {
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


def add_site_flags(site_parser: argparse.ArgumentParser) -> None:
    """Add the flags that describe a site."""
    site_parser.add_argument('--folder', type=pathlib.Path, required=True)
    site_parser.add_argument('--first-port', type=int, default=FIRST_PORT)
    site_parser.add_argument('--entries', type=int, default=ENTRIES)
    site_parser.add_argument('--engines', type=int, nargs='+', default=ENGINES)
    site_parser.add_argument('--pids', type=int, nargs='*', default=[])


def site_from_arguments(arguments: argparse.Namespace) -> Site:
    """Return the site that the flags describe."""
    return Site(
        arguments.first_port,
        arguments.entries,
        tuple(arguments.engines),
    )


def main() -> None:
    """Write a site's settings files."""
    site_parser = argparse.ArgumentParser(
        description='Writes the settings files of a site.'
    )
    add_site_flags(site_parser)
    arguments = site_parser.parse_args()
    site_from_arguments(arguments).write(arguments.folder)


def _write(path: pathlib.Path, body: Mapping[str, object]) -> None:
    path.write_bytes(orjson.dumps(body, option=orjson.OPT_INDENT_2))


if __name__ == '__main__':
    main()

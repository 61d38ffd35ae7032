"""Builders of test data."""

import json
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import replace
from typing import Any

from ..process.engines import EngineOrder, EngineStatus
from ..process.groups import GroupRecord, GroupState, Member
from ..process.platform import VmListing, VmState
from ..request.authentication import hash_secret
from ..request.caller import CallerRequest, IncomingRequest
from ..standins.engine import EngineSpeed
from ..version.document import Service
from ..version.holder import Version, make_version

SALT = '0123456789abcdef'
SECRET = 'demo-secret'
KEY = f'north.{SECRET}'
WORKSPACE = 'yard-north'
DEPLOYMENT = 'ledger-model'
SERVICE = 'ledger'
DOMAIN = 'fd-1'


def document(**changes: object) -> dict[str, object]:
    """Return a configuration with one model service of two groups."""
    return {
        'format': 1,
        'pools': {'local': {'honours_fencing': True}},
        'deployments': {
            DEPLOYMENT: {
                'kind': 'model',
                'pool': 'local',
                'model': 'ledger-7b',
                'model_version': 'v1',
                'group_size': 2,
                'groups_by_failure_domain': {DOMAIN: 2},
            },
        },
        'templates': {
            'ledger': {
                'parameters': {
                    'max-tokens': {'type': 'integer', 'default': 64},
                },
                'service': {
                    'deployment': DEPLOYMENT,
                    'max_tokens': {'$param': 'max-tokens'},
                },
            },
        },
        'workspaces': {
            WORKSPACE: {
                'keys': {
                    'north': {
                        'salt': SALT,
                        'sha256': hash_secret(SALT, SECRET),
                    },
                },
                'services': {SERVICE: {'template': 'ledger'}},
            },
        },
        **changes,
    }


def model_deployment(groups: int, size: int) -> dict[str, object]:
    """Return a model deployment of the first failure domain."""
    return {
        'kind': 'model',
        'pool': 'local',
        'model': 'ledger-7b',
        'model_version': 'v1',
        'group_size': size,
        'groups_by_failure_domain': {DOMAIN: groups},
    }


def with_plain(
    urls: Iterable[str],
    routes: Sequence[str] = (),
) -> dict[str, Any]:
    """Return the changes that add a plain service named ``refunds``."""
    changes: dict[str, Any] = document()
    endpoints = [{'url': url, 'failure_domain': DOMAIN} for url in urls]
    changes['deployments']['refunds'] = {
        'kind': 'plain',
        'endpoints': endpoints,
    }
    changes['templates']['refunds'] = {
        'service': {
            'deployment': 'refunds',
            'non_idempotent_routes': list(routes),
        },
    }
    services = changes['workspaces'][WORKSPACE]['services']
    services['refunds'] = {'template': 'refunds'}
    return changes


def document_body(**changes: object) -> bytes:
    """Return the encoded configuration, as an operator submits it."""
    return json.dumps(document(**changes)).encode()


def version(number: int = 1, **changes: object) -> Version:
    """Return a checked configuration version."""
    return make_version(number, document_body(**changes))


def vm(index: int = 0, **changes: object) -> VmListing:
    """Return a live VM of the first failure domain."""
    fields: dict[str, object] = {
        'vm_id': f'vm{index}',
        'address': f'vm{index}:1',
        'failure_domain': DOMAIN,
        'fabric_domain': 'f0',
        'pool': 'local',
        'state': VmState.LIVE,
        **changes,
    }
    return VmListing(**fields)  # type: ignore[arg-type]


def group(index: int = 0, size: int = 2, **changes: object) -> GroupRecord:
    """Return a serving group; VMs are numbered across groups."""
    first = index * size
    members = tuple(
        Member(f'vm{vm_index}', f'vm{vm_index}:1', f'vm{vm_index}#1')
        for vm_index in range(first, first + size)
    )
    fields: dict[str, object] = {
        'group_id': f'g{index}',
        'deployment': DEPLOYMENT,
        'failure_domain': DOMAIN,
        'fabric_domain': 'f0',
        'generation': 1,
        'members': members,
        'model': 'ledger-7b',
        'model_version': 'v1',
        'state': GroupState.SERVING,
        **changes,
    }
    return GroupRecord(**fields)  # type: ignore[arg-type]


def order(of: GroupRecord, rank: int = 0, fencing: int = 1) -> EngineOrder:
    """Return the order for the group member of a rank."""
    return EngineOrder(
        group_id=of.group_id,
        generation=of.generation,
        model=of.model,
        model_version=of.model_version,
        members=tuple(member.vm_id for member in of.members),
        rank=rank,
        fencing=fencing,
        valid_for=5,
    )


def confirmed(of: GroupRecord, rank: int = 0) -> EngineStatus:
    """Return the ready status of a member that holds its group's order."""
    member = of.members[rank]
    return EngineStatus(
        vm_id=member.vm_id,
        incarnation=member.incarnation,
        group_id=of.group_id,
        generation=of.generation,
        model=of.model,
        model_version=of.model_version,
        members=tuple(peer.vm_id for peer in of.members),
        ready=True,
    )


def caller_request(**changes: object) -> CallerRequest:
    """Return a streamed, idempotent request of 20 tokens."""
    fields: dict[str, object] = {
        'request_id': 'req-1',
        'workspace': WORKSPACE,
        'service_name': SERVICE,
        'service': Service(deployment=DEPLOYMENT),
        'path': '/v1/completions',
        'body': b'{"prompt":"p","seed":1,"max_tokens":20,"stream":true}',
        'prompt': 'p',
        'max_tokens': 20,
        'is_streamed': True,
        'created': 0,
        'deadline': 1000,
        **changes,
    }
    return CallerRequest(**fields)  # type: ignore[arg-type]


def incoming_request(
    body: Mapping[str, object],
    headers: Mapping[str, str] | None = None,
) -> IncomingRequest:
    """Return a request as it is read from a connection."""
    return IncomingRequest(
        request_id='req-1',
        path='/v1/completions',
        headers={'Authorization': f'Bearer {KEY}', **(headers or {})},
        body=json.dumps(body).encode(),
        arrived_at=0,
        created=0,
    )


def speed(**changes: float) -> EngineSpeed:
    """Return the default engine speed with some fields changed."""
    return replace(EngineSpeed(), **changes)  # type: ignore[arg-type]

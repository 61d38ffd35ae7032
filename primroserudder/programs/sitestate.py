"""The state of all nodes as ``rudderctl`` merges it."""

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any, TypeAlias

from .operatorclient import OperatorClient

Sections: TypeAlias = Mapping[str, Any]

UNREACHABLE = 'unreachable'
VIOLATIONS = 'rudder_invariant_violations'


@dataclass(frozen=True, slots=True)
class NodeVersion:
    """The version in force at one node; no number means no answer."""

    node_id: str
    number: int | None
    refused: str = ''

    def lags(self, newest: int) -> bool:
        """Return whether the node has not got so far."""
        return self.number is None or self.number < newest

    def note(self, newest: int) -> str:
        """Return what an operator should know of the node."""
        if self.number is None:
            return 'no answer'
        if self.refused:
            return f'lags, refused: {self.refused}'
        return 'lags' if self.lags(newest) else ''


async def collect(
    client: OperatorClient,
    *sections: str,
) -> Mapping[str, Sections]:
    """Return sections of the state of each known node."""
    wanted = ','.join(sections)
    found: Mapping[str, Sections] = await client.get(
        f'/v1/site?sections={wanted}',
    )
    return dict(sorted(found.items()))


async def node_versions(client: OperatorClient) -> Sequence[NodeVersion]:
    """Return the version in force at each known node."""
    nodes = await collect(client, 'version')
    return [_version(node_id, found) for node_id, found in nodes.items()]


def _version(node_id: str, found: Sections) -> NodeVersion:
    version = found.get('version')
    if version is None:
        return NodeVersion(node_id, None)
    refused = version.get('refused')
    reason = refused['reason'] if refused else ''
    return NodeVersion(node_id, version['number'], reason)


def merge_groups(nodes: Iterable[Sections]) -> Mapping[str, Sections]:
    """Return each group as the node knows it that has the newest record.

    Examples
    ========
    >>> old = {'groups': {'g1': {'generation': 1, 'state': 'serving'}}}
    >>> new = {'groups': {'g1': {'generation': 2, 'state': 'forming'}}}
    >>> merge_groups([new, old])
    {'g1': {'generation': 2, 'state': 'forming'}}
    """
    records = [
        (group['generation'], group_id, group)
        for found in nodes
        for group_id, group in found.get('groups', {}).items()
    ]
    records.sort(key=lambda record: record[0])
    merged = {group_id: group for _, group_id, group in records}
    return dict(sorted(merged.items()))


def sum_counters(nodes: Iterable[Sections]) -> Mapping[str, float]:
    """Return the counters of all nodes, added up by name.

    Examples
    ========
    >>> sum_counters([{'metrics': {'counters': {'a': 1}}}, {}])
    {'a': 1}
    """
    total: Counter[str] = Counter()
    for found in nodes:
        total.update(found.get('metrics', {}).get('counters', {}))
    return dict(sorted(total.items()))


def violations(found: Sections) -> int:
    """Return how many violated invariants a node has counted."""
    counters = found.get('metrics', {}).get('counters', {})
    return int(
        sum(
            count
            for name, count in counters.items()
            if name.startswith(VIOLATIONS)
        ),
    )

"""Reads and merges the state of all nodes for ``rudderctl``."""

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
    """The version in force at a node; no number if it did not answer."""

    node_id: str
    number: int | None
    refused: str = ''

    def lags(self, newest: int) -> bool:
        """Return whether the node is behind a version or did not answer."""
        return self.number is None or self.number < newest

    def note(self, newest: int) -> str:
        """Return a note for operators; empty if the node is up to date."""
        if self.number is None:
            return 'no answer'
        if self.refused:
            return f'lags, refused: {self.refused}'
        return 'lags' if self.lags(newest) else ''


async def collect(
    client: OperatorClient,
    *sections: str,
) -> Mapping[str, Sections]:
    """Return the named sections of the state of each known node."""
    names = ','.join(sections)
    nodes: Mapping[str, Sections] = await client.get(
        f'/v1/site?sections={names}',
    )
    return dict(sorted(nodes.items()))


async def node_versions(client: OperatorClient) -> Sequence[NodeVersion]:
    """Return the version in force at each known node."""
    nodes = await collect(client, 'version')
    return [_node_version(node_id, state) for node_id, state in nodes.items()]


def _node_version(node_id: str, state: Sections) -> NodeVersion:
    version = state.get('version')
    if version is None:
        return NodeVersion(node_id, None)
    refusal = version.get('refused')
    reason = refusal['reason'] if refusal else ''
    return NodeVersion(node_id, version['number'], reason)


def merge_groups(nodes: Iterable[Sections]) -> Mapping[str, Sections]:
    """Return the record of each group that has the highest generation.

    Examples
    ========
    >>> old = {'groups': {'g1': {'generation': 1, 'state': 'serving'}}}
    >>> new = {'groups': {'g1': {'generation': 2, 'state': 'forming'}}}
    >>> merge_groups([new, old])
    {'g1': {'generation': 2, 'state': 'forming'}}
    """
    records = [
        (group['generation'], group_id, group)
        for state in nodes
        for group_id, group in state.get('groups', {}).items()
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
    for state in nodes:
        total.update(state.get('metrics', {}).get('counters', {}))
    return dict(sorted(total.items()))


def violations(state: Sections) -> int:
    """Return the number of invariant violations that a node has counted."""
    counters = state.get('metrics', {}).get('counters', {})
    return int(
        sum(
            count
            for name, count in counters.items()
            if name.startswith(VIOLATIONS)
        ),
    )

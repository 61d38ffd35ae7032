"""Builds side by side read each other's rows, tables and forwarded requests."""

import pathlib
from collections.abc import Mapping

import orjson
import pytest
from hypothesis import given
from hypothesis import strategies as st
from multidict import CIMultiDict, CIMultiDictProxy

from ....process.leaserows import era_of, fencing_of, is_held_by
from ....process.platform import Row
from ....process.tablepages import StoreVersion
from ....testing.platformsite import platform_site
from ...claims import decode_claim
from ...crashes.strikes import parse_strike
from ...crashes.strikestore import STRIKES_PREFIX
from ...forwarding import (
    forwarded_attempts,
    headers_for_router,
    headers_of_forwarded,
)
from ...membership.nodes import NODES_PREFIX, _peer
from ...relaying.messages import TableMessage
from ...relaying.tablecoding import encode_table
from ..build import build_name
from . import rules08c7865 as old

FIXTURES = pathlib.Path(__file__).parent / 'fixtures' / '08c7865'
Fields = dict[str, object]
_texts = st.text(max_size=8)
# Names that no row has, and what a later build may write there.
_unknown = st.dictionaries(
    _texts.map('later_{0}'.format),
    st.none() | st.integers(-9, 9) | _texts | st.lists(_texts, max_size=2),
    min_size=1,
    max_size=3,
)


def _rows(prefix: str) -> Mapping[str, Fields]:
    rows = orjson.loads((FIXTURES / 'rows.json').read_bytes())
    found = {
        key: fields for key, fields in rows.items() if key.startswith(prefix)
    }
    assert found
    return found


def _tables() -> Mapping[str, str]:
    tables = orjson.loads((FIXTURES / 'tables.json').read_bytes())
    assert isinstance(tables, dict)
    return tables


@given(_unknown)
def test_node_rows_are_read_both_ways(unknown: Fields) -> None:
    for key, fields in _rows(NODES_PREFIX).items():
        peer = _peer(Row(key, 1, {**fields, **unknown}))
        expected = old.read_node(fields)
        assert (peer.failure_domain, peer.speed) == expected
        assert old.read_node({**fields, **unknown}) == expected


@given(_unknown)
def test_claims_of_groups_are_read_both_ways(unknown: Fields) -> None:
    for key, fields in _rows('groups/').items():
        expected = old.ClaimRow.model_validate(fields)
        assert old.ClaimRow.model_validate({**fields, **unknown}) == expected
        claim = decode_claim(key, {**fields, **unknown})
        assert claim is not None
        assert claim.formation.epoch == expected.epoch
        assert claim.formation.members == expected.members
        assert claim.born_by_member == expected.born


@pytest.mark.parametrize('prefix', ['leases/', 'tenures/'])
@given(_unknown)
def test_lease_rows_are_read_both_ways(prefix: str, unknown: Fields) -> None:
    for key, fields in _rows(prefix).items():
        holder, fencing, era = old.read_lease(fields)
        assert old.read_lease({**fields, **unknown}) == (holder, fencing, era)
        row = Row(key, 1, {**fields, **unknown})
        assert (fencing_of(row), era_of(row)) == (fencing, era)
        assert is_held_by(row, holder)


def test_strike_rows_of_08c7865_are_read() -> None:
    for key, fields in _rows(STRIKES_PREFIX).items():
        strike = parse_strike(key.removeprefix(STRIKES_PREFIX))
        assert strike is not None
        assert strike.strike_id == key.removeprefix(STRIKES_PREFIX)
        assert old.read_strike(fields) is not None


@given(_unknown)
def test_relayed_tables_are_read_both_ways(unknown: Fields) -> None:
    for text in _tables().values():
        expected = old.TableMessage.model_validate_json(text)
        message = orjson.loads(text)
        message.update(unknown)
        for row in message['rows']:
            row.update(unknown)
        grown = orjson.dumps(message)
        assert old.TableMessage.model_validate_json(grown) == expected
        read = TableMessage.model_validate_json(grown)
        # 08c7865 knows no patches, and sends none.
        assert all(row.patch is None for row in read.rows)
        without_patches = read.model_dump(
            exclude={'rows': {'__all__': {'patch'}}}
        )
        assert without_patches == expected.model_dump()


def test_forwarded_request_of_08c7865_is_read() -> None:
    fields = orjson.loads((FIXTURES / 'forwarded.json').read_bytes())
    headers = CIMultiDictProxy(CIMultiDict(fields))
    assert forwarded_attempts(headers) == old.read_forwarded(fields) == 2
    assert 'Rudder-Attempts-Left' not in headers_of_forwarded(headers)
    assert headers_of_forwarded(headers)['X-A'] == 'b'


def test_forwarded_request_of_this_build_is_read_by_08c7865() -> None:
    caller = CIMultiDictProxy(CIMultiDict({'Host': 'one.example'}))
    outgoing = headers_for_router(caller, 3, 1.5, '7')
    assert old.read_forwarded(outgoing) == 3


def test_unknown_field_between_routers_reaches_no_engine() -> None:
    fields = {'Rudder-Attempts-Left': '1', 'Rudder-Later': 'x', 'X-A': 'b'}
    forwarded = CIMultiDictProxy(CIMultiDict(fields))
    assert dict(headers_of_forwarded(forwarded)) == {'X-A': 'b'}
    # A caller may use such a name for a purpose of its own.
    own = CIMultiDictProxy(CIMultiDict({'Rudder-Later': 'x'}))
    assert dict(headers_of_forwarded(own)) == {'Rudder-Later': 'x'}


async def test_rows_of_this_build_are_read_by_the_rules_of_08c7865() -> None:
    async with platform_site(engines=4, plain=1, routers=2) as site:
        view = site.routers[0].view
        await site.until(lambda: len(view.directory.targets_by_pool()) == 2)
        await site.until(lambda: len(view.nodes.rows_by_key) == 2)
        for fields in _fields(view.nodes.rows_by_key):
            assert old.read_node(fields) == ('fd-1', 1)
        table = encode_table(view.nodes, StoreVersion(0, 0))
        read = old.TableMessage.model_validate_json(table)
        assert {row.key for row in read.rows} == set(view.nodes.rows_by_key)
        stored = site.store.rows.rows_by_id
        assert {'leases', 'tenures', 'groups'} <= {table for table, _ in stored}
        lease = await site.routers[0].store.read('leases/site')
        assert lease is not None
        assert old.read_lease(lease.fields)[1] == 1
        claims = await site.routers[0].store.scan('groups/')
        for claim in claims:
            old.ClaimRow.model_validate(claim.fields)


def _fields(rows: Mapping[str, Row]) -> list[Mapping[str, object]]:
    return [row.fields for row in rows.values()]


async def test_state_shows_which_build_each_vm_runs() -> None:
    async with platform_site(engines=2, plain=1, routers=2) as site:
        first = site.routers[0]
        await site.until(lambda: len(first.registry.builds()) == 2)
        names = dict.fromkeys(('vm-0', 'vm-1'), build_name())
        assert first.registry.builds() == names
        # 08c7865 writes no build.
        row = {'node': 'vm-9', 'domain': 'fd-1', 'speed': 1}
        site.store.rows.put('nodes', '127.0.0.1:9', row)
        await site.until(lambda: first.registry.builds().get('vm-9') == '')
        state = first.dump()
        assert state['build'] == build_name()
        assert state['builds'] == {**names, 'vm-9': ''}


async def test_row_of_another_build_at_the_same_address_is_written_again() -> (
    None
):
    async with platform_site(engines=2, plain=1) as site:
        router = site.routers[0]
        rows = site.store.rows
        address = router.settings.exchange_endpoint
        await site.until(lambda: ('nodes', address) in rows.rows_by_id)
        row = {'node': 'vm-0', 'domain': 'fd-1', 'speed': 1}
        rows.put('nodes', address, row)
        before = rows.rows_by_id['nodes', address]
        await site.until(lambda: rows.rows_by_id['nodes', address] != before)
        written = await router.store.read(f'nodes/{address}')
        assert written is not None
        assert written.fields == {**row, 'build': build_name()}

"""Decoding of the platform's rows and header fields."""

import pytest
from multidict import CIMultiDict, CIMultiDictProxy

from ...fleet.model import GroupState, RequestKind
from ...fleet.routes import UnknownKey, UnknownRoute, find_route, find_workspace
from ...testing.platformsite import HOST, KEY, configuration
from ..configuration import UnreadableConfiguration, decode_configuration
from ..enginelist import decode_engine, decode_report
from ..headers import (
    ForwardedFields,
    confirms_not_run,
    read_request,
    request_headers_for_engine,
)

ENTRY = {
    'Service': 'model',
    'Address': '10.0.0.1:80',
    'Zone': 'fd-1',
    'Slots': 13,
    'State': 'ready',
    'Sequence': 4,
    'born': 1700000000000,
    'Domain': 'd0',
    'Staged': ['small'],
    'group': {'Name': 'small.7', 'epoch': 7, 'rank': 1, 'State': 'open'},
}


def _headers(**fields: str) -> CIMultiDictProxy[str]:
    header_fields = {
        name.replace('_', '-'): text for name, text in fields.items()
    }
    return CIMultiDictProxy(CIMultiDict(header_fields))


def test_longest_matching_prefix_is_chosen() -> None:
    routes = [
        {
            'Host': HOST,
            'Prefix': '/a/',
            'RouteKind': 'idempotent',
            'TimeoutMs': 1,
            'Service': 'one',
        },
        {
            'Host': HOST,
            'Prefix': '/a/b/',
            'RouteKind': 'streaming',
            'TimeoutMs': 1,
            'Service': 'two',
        },
    ]
    decoded = decode_configuration(configuration(Routes=routes))
    assert find_route(decoded, HOST, '/a/b/c').shares[0].service == 'two'
    assert find_route(decoded, HOST.upper(), '/a/c').shares[0].service == 'one'
    with pytest.raises(UnknownRoute):
        find_route(decoded, HOST, '/a')


def test_route_kind_determines_whether_requests_may_repeat() -> None:
    decoded = decode_configuration(configuration())
    may_repeat = {
        route.name: route.may_repeat for route in decoded.routes_by_host[HOST]
    }
    assert may_repeat == {'notes': True, 'refunds': False, 'lookups': True}


def test_unknown_kind_is_treated_as_non_idempotent() -> None:
    route = {
        'Host': HOST,
        'Prefix': '/a/',
        'RouteKind': 'odd',
        'TimeoutMs': 1,
        'Service': 'one',
    }
    decoded = decode_configuration(configuration(Routes=[route]))
    kind = decoded.routes_by_host[HOST][0].kind
    assert kind is RequestKind.NON_IDEMPOTENT


def test_api_key_selects_the_workspace() -> None:
    decoded = decode_configuration(configuration())
    route = decoded.routes_by_host[HOST][0]
    assert find_workspace(decoded, route, KEY).name == 'north'
    with pytest.raises(UnknownKey):
        find_workspace(decoded, route, 'other')


def test_configuration_error_names_the_field() -> None:
    with pytest.raises(UnreadableConfiguration, match='Version'):
        decode_configuration({'Version': 'seven'})


def test_engine_entry_is_decoded() -> None:
    engine = decode_engine('i-1', ENTRY)
    assert engine is not None
    assert engine.membership is not None
    assert engine.membership.state is GroupState.OPEN
    assert engine.staged == ('small',)


@pytest.mark.parametrize(
    'change',
    [
        {'Service': None},
        {'Address': 'somewhere'},
        {'State': 'odd'},
        {'Slots': 'many'},
        {'Zone': 7},
        {'born': 0},
        {'born': '1700000000000'},
    ],
)
def test_invalid_entry_is_no_engine(
    change: dict[str, object],
) -> None:
    assert decode_engine('i-1', {**ENTRY, **change}) is None


@pytest.mark.parametrize('state', ['serving', '', 'OPEN', 'unknown'])
def test_unknown_state_of_a_group_is_no_proof_that_there_is_none(
    state: str,
) -> None:
    group = {'Name': 'small.7', 'epoch': 7, 'rank': 0, 'State': state}
    engine = decode_engine('i-1', {**ENTRY, 'group': group})
    assert engine is not None and engine.membership is not None
    assert engine.membership.state is GroupState.UNKNOWN
    assert engine.membership.group == 'small.7'


@pytest.mark.parametrize(
    'missing', ['Service', 'Address', 'Zone', 'State', 'born']
)
def test_entry_without_a_field_is_no_engine(missing: str) -> None:
    """Another writer's entry must not pass for a restart of the engine."""
    kept = {name: text for name, text in ENTRY.items() if name != missing}
    assert decode_engine('i-1', kept) is None


def test_report_of_a_slow_engine_has_its_slowdown() -> None:
    report = decode_report({'Sequence': 2, 'Active': 12, 'pace': 4})
    assert report is not None
    assert (report.orders_accepted, report.running) == (2, 12)
    assert report.pace == pytest.approx(4)


def test_hop_by_hop_fields_and_api_keys_are_not_forwarded() -> None:
    headers = _headers(
        Connection='X_Hop',
        Authorization='Bearer secret',
        X_Primroserudder_Tenant='forged',
        X_Primroserudder_Expect_Instance='forged',
        Transfer_Encoding='chunked',
        X_Other='kept',
    )
    fields = ForwardedFields('i-1', 'north', 0.25)
    sent = request_headers_for_engine(headers, fields)
    assert sent.getall('X-Primroserudder-Tenant') == ['north']
    assert sent.getall('X-Primroserudder-Expect-Instance') == ['i-1']
    assert sent['X-Primroserudder-Deadline-Ms'] == '250'
    assert sent['X-Other'] == 'kept'
    assert 'Authorization' not in sent
    assert 'Transfer-Encoding' not in sent


def test_token_counts_that_are_not_numbers_are_zero() -> None:
    metadata = read_request(_headers(X_Primroserudder_Token_Usage='many,more'))
    assert (metadata.prompt_tokens, metadata.answer_tokens) == (0, 0)
    assert metadata.deadline_s is None


def test_only_an_engines_confirmation_counts_as_not_run() -> None:
    assert confirms_not_run(421, _headers())
    assert confirms_not_run(503, _headers(X_Primroserudder_Not_Executed='1'))
    assert not confirms_not_run(503, _headers())
    assert not confirms_not_run(500, _headers())


def test_services_name_what_cold_engines_take() -> None:
    services = [
        {'Name': 'model', 'ColdStartS': 3.0, 'ColdPerS': 18.0},
        {'Name': 'ledger'},
    ]
    decoded = decode_configuration(configuration(Services=services))
    model = decoded.services_by_name['model']
    assert (model.cold_start_s, model.cold_per_s) == (3, 18)
    assert model.limits_cold_engines
    assert not decoded.services_by_name['ledger'].limits_cold_engines


@pytest.mark.parametrize(
    ('remaining_ms', 'cold_s'), [(1500, 1.5), ('soon', 0), (-1, 0), (1e12, 60)]
)
def test_cold_time_of_any_form_leaves_an_entry_readable(
    remaining_ms: object, cold_s: float
) -> None:
    engine = decode_engine('i-1', {**ENTRY, 'ColdRemainingMs': remaining_ms})
    assert engine is not None
    assert engine.cold_remaining_s == cold_s
    assert engine.slots == 13

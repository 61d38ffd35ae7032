"""Stated times of engines are decoded, and never spoil a configuration."""

import pytest

from ...fleet.model import EngineTimes
from ...testing.platformsite import configuration
from ..configuration import decode_configuration

STATED = {
    'step_ms': 6.07,
    'per_seq_ms': 0.482,
    'context_per_k': 0.02,
    'read_per_s': 46_000,
    'pairs_per_m': 1.5,
    'chunk': 2048,
    'Stride': 5,
    'usual': {'prompt': 1460, 'answer': 80},
}


def _times(**fields: object) -> EngineTimes | None:
    engine = {
        'Slots': 17,
        'KvCapacity': 700_000,
        'Models': [{'Name': 'small', 'size': 4}],
        **fields,
    }
    services = [{'Name': 'model', 'Engine': engine}]
    decoded = decode_configuration(configuration(Services=services))
    spec = decoded.services_by_name['model'].engine
    assert spec is not None
    return spec.times


def test_stated_times_are_decoded_into_seconds_and_tokens() -> None:
    times = _times(**STATED)
    assert times is not None
    assert times.step_s == pytest.approx(0.00607)
    assert times.request_s == pytest.approx(0.000482)
    assert times.context_token_s == pytest.approx(2e-8)
    assert times.read_tokens_per_s == 46_000
    assert times.pair_s == pytest.approx(1.5e-9)
    assert (times.chunk_tokens, times.steps_per_pass) == (2048, 5)
    assert times.usual_prompt_tokens == 1460
    assert times.usual_answer_tokens == 80


def test_configuration_without_times_has_none() -> None:
    # Services without stated times must be chosen for as before.
    assert _times() is None
    assert _times(step_ms=6.07) is None
    assert _times(read_per_s=46_000) is None


@pytest.mark.parametrize(
    'malformed', ['fast', -1, float('inf'), None, [1], True, 1e30]
)
def test_malformed_time_counts_as_missing(malformed: object) -> None:
    # A configuration that the platform accepted must not become unreadable.
    assert _times(**{**STATED, 'step_ms': malformed}) is None
    others = {name: malformed for name in STATED if name not in {'step_ms'}}
    times = _times(**{**STATED, **others, 'read_per_s': 46_000})
    assert times is not None
    assert times.request_s == 0
    assert times.steps_per_pass >= 1
    assert times.usual_answer_tokens == 0

"""What a VM knows of evacuations, from the operators' rows."""

import pytest

from ....platform import decode_evacuations
from ....process.decisions import DecisionLog
from ....process.platform import Row
from ....testing.fleetdata import ManualClock, engine, target
from ...model import Target
from ..evacuations import MAX_ENDED, Evacuations

PREFIX = 'op/evacuate/'

Lines = list[dict[str, object]]


@pytest.fixture
def lines(monkeypatch: pytest.MonkeyPatch) -> Lines:
    """Return the lines of the decision log."""
    written: Lines = []
    monkeypatch.setattr(
        DecisionLog,
        'note',
        lambda _, decision, **inputs: written.append(
            {'decision': decision, **inputs}
        ),
    )
    return written


def _evacuations() -> Evacuations:
    clock = ManualClock()
    return Evacuations(decode_evacuations, clock, DecisionLog('vm', clock))


def _update(evacuations: Evacuations, *domains: str, revision: int = 7) -> bool:
    keys = [f'{PREFIX}{domain}' for domain in domains]
    return evacuations.update(
        {key: Row(key, revision, {}) for key in ('op/config', *keys)}
    )


def test_targets_of_an_evacuated_domain_get_nothing() -> None:
    evacuations = _evacuations()
    targets = (target('a', domain='fd-1'), target('b', domain='fd-2'))
    assert evacuations.usable(targets) is targets
    assert _update(evacuations, 'fd-1')
    assert evacuations.usable(targets) == targets[1:]
    assert not evacuations.may_send(targets[0])
    assert _update(evacuations)
    assert evacuations.usable(targets) is targets


def test_several_domains_are_evacuated_at_once() -> None:
    evacuations = _evacuations()
    _update(evacuations, 'fd-1', 'fd-2')
    targets = [target(domain, domain=domain) for domain in ('fd-1', 'fd-2')]
    assert not evacuations.usable(targets)
    _update(evacuations, 'fd-2')
    assert evacuations.usable(targets) == (targets[0],)


def test_unknown_domain_leaves_all_targets() -> None:
    evacuations = _evacuations()
    targets = [target('a', domain='fd-1')]
    _update(evacuations, 'fd-9')
    assert evacuations.usable(targets) is targets


def test_router_in_an_evacuated_domain_takes_requests_of_others() -> None:
    # It sends them to engines of other domains.
    evacuations = _evacuations()
    _update(evacuations, 'fd-1')
    router = Target('router/1', '127.0.0.1:1', 'fd-1', 9, is_router=True)
    assert evacuations.may_send(router)


def test_set_of_domains_is_replaced_only_on_a_change() -> None:
    # Pools are made again when its identity changes.
    evacuations = _evacuations()
    before = evacuations.domains
    assert not _update(evacuations)
    assert evacuations.domains is before
    _update(evacuations, 'fd-1')
    before = evacuations.domains
    assert not _update(evacuations, 'fd-1', revision=8)
    assert evacuations.domains is before


def test_begin_and_end_are_logged_once_with_the_revision(lines: Lines) -> None:
    evacuations = _evacuations()
    for _ in range(2):
        _update(evacuations, 'fd-1')
    _update(evacuations, 'fd-1', revision=9)
    for _ in range(2):
        _update(evacuations)
    assert lines == [
        {'decision': 'evacuation_begun', 'domain': 'fd-1', 'revision': 7},
        {'decision': 'evacuation_ended', 'domain': 'fd-1', 'revision': 9},
    ]


@pytest.mark.parametrize('domain', ['', 'x' * 5000])
def test_malformed_key_is_logged_once_and_changes_nothing(
    domain: str, lines: Lines
) -> None:
    evacuations = _evacuations()
    for _ in range(3):
        assert not _update(evacuations, domain)
    assert not evacuations.domains
    assert lines == [
        {'decision': 'evacuation_malformed', 'key': f'{PREFIX}{domain}'}
    ]


def test_end_is_known_by_domain_until_the_next_evacuation() -> None:
    evacuations = _evacuations()
    assert evacuations.ended_at('fd-1') is None
    _update(evacuations, 'fd-1', 'fd-2')
    assert evacuations.ended_at('fd-1') is None
    evacuations.clock.advance(5)  # type: ignore[attr-defined]
    _update(evacuations, 'fd-2')
    assert evacuations.ended_at('fd-1') == evacuations.clock.monotonic()
    assert evacuations.ended_at('fd-2') is None
    _update(evacuations, 'fd-1')
    assert evacuations.ended_at('fd-1') is None


def test_ends_of_endless_domains_take_bounded_memory() -> None:
    evacuations = _evacuations()
    for number in range(MAX_ENDED + 5):
        _update(evacuations, f'fd-{number}')
    _update(evacuations)
    assert evacuations.ended_at('fd-0') is None
    last = MAX_ENDED + 4
    assert evacuations.ended_at(f'fd-{last}') is not None
    assert len(evacuations._ended_at_by_domain) == MAX_ENDED


def test_dump_tells_domains_that_have_no_engines() -> None:
    evacuations = _evacuations()
    _update(evacuations, 'fd-1', 'fd-9')
    assert evacuations.dump([engine('a'), engine('b')]) == {
        'fd-1': {'revision': 7, 'engines': 2},
        'fd-9': {'revision': 7, 'engines': 0},
    }

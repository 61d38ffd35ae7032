"""Tests the soak's check of parts that crash engines, on both sides."""

import pathlib

from ...standins.groupengine import PROMPT, ReceivedRequest
from ...standins.tablestore import TableStore
from ..callers import QUARANTINED, Ending, Exchange, RequestKind
from ..crashingparts import CrashingParts
from ..engines import SoakEngine
from ..options import SoakOptions
from ..site import SoakSite

ENDED_AT = 20.0


def _parts(arrivals: list[float]) -> CrashingParts:
    site = SoakSite(SoakOptions(1, pathlib.Path()))
    headers = {PROMPT: 'f:1,c0:1,e:1'}
    engine = SoakEngine('i-0', '', TableStore())
    engine.received_requests = [
        ReceivedRequest('i-0', 'POST', '/notes/1', headers, b'', at)
        for at in arrivals
    ]
    site.engines.append(engine)
    parts = CrashingParts(site)
    parts.ended_at_by_part['c0'] = ENDED_AT
    return parts


def _exchanges(count: int, body: bytes) -> list[Exchange]:
    return [
        Exchange(
            f'caller-{number}',
            RequestKind.STREAM,
            0,
            15,
            16,
            Ending.ANSWERED,
            503,
            body=body,
        )
        for number in range(count)
    ]


def test_requests_long_after_the_fifth_crash_are_found() -> None:
    arrivals = [0, 1, 2, 3, 4, 6.9, 7.1, 7.2, 7.3]
    assert not list(_parts(arrivals).violations(()))
    assert list(_parts([*arrivals, 7.4]).violations(()))


def test_refusals_of_most_sound_requests_are_found() -> None:
    parts = _parts([0, 1, 2, 3, 4])
    refused = _exchanges(15, QUARANTINED)
    assert not list(parts.violations([*refused, *_exchanges(15, b'')]))
    assert list(parts.violations([*refused, *_exchanges(14, b'')]))

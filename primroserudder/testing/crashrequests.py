"""Draws requests whose prompts share parts, some of which crash engines."""

import asyncio
import itertools
import random
from collections.abc import Iterator
from dataclasses import dataclass, replace

from multidict import CIMultiDict, CIMultiDictProxy

from ..fleet.call import Call
from ..fleet.model import Service, Workspace
from ..fleet.retries import RetryState
from ..fleet.routes import Destination
from ..platform.headers import read_request
from ..process.invariants import Invariants
from ..process.metrics import Metrics
from ..request.dispatch import DispatchRecord
from .crashpatterns import TROUBLE_AT_S, CrashingPart, CrashPattern
from .fleetdata import SPEC, route

PREFIX_HASH = 'X-Primroserudder-Prefix-Hash'
FIRST_PARTS = 60
SECOND_PARTS = 200
SKEW = 0.5
SECOND_PART_SHARE = 0.6
FIRST_PARTS_PER_WORKSPACE = 5
PART_TOKENS = 400
# Largest factor by which a run is shorter or longer than the mean.
RUN_SPREAD = 0.7
ROUTE = route()


@dataclass(frozen=True, slots=True)
class CrashRequest:
    """A caller's request; engines end that write on the part ``crashes``."""

    number: int
    at_s: float
    vm: int
    parts: tuple[str, ...]
    workspace: str
    run_s: float
    crashes: str = ''
    is_repeat: bool = False

    def call(self) -> Call:
        """Return the request as a VM reads it now."""
        prefix = ','.join(f'{part}:{PART_TOKENS}' for part in self.parts)
        headers = CIMultiDictProxy(CIMultiDict({PREFIX_HASH: prefix}))
        now = asyncio.get_running_loop().time()
        return Call(
            method='POST',
            raw_path=f'{ROUTE.prefix}1',
            headers=headers,
            body=prefix.encode(),
            metadata=read_request(headers),
            destination=Destination(
                ROUTE, Service('model', 100, SPEC), Workspace(self.workspace)
            ),
            received_at=now,
            deadline_at=now + ROUTE.timeout_s,
            retry_state=RetryState(ROUTE),
            dispatch=DispatchRecord(Invariants(Metrics()), str(self.number)),
        )

    def repeated(self, at_s: float, vm: int) -> 'CrashRequest':
        """Return the same content as its caller sends it once more."""
        return replace(self, at_s=at_s, vm=vm, is_repeat=True)


@dataclass(slots=True)
class RequestSource:
    """Draws the requests of a pattern for a number of VMs and engines."""

    pattern: CrashPattern
    vms: int
    engines: int
    rng: random.Random
    _numbers: Iterator[int]

    def draw(self) -> list[CrashRequest]:
        """Return all requests, ordered by time."""
        pattern = self.pattern
        per_engine = pattern.requests_per_engine / pattern.run_s
        times = self._times(0, per_engine * self.engines)
        requests = [self._sound(at_s) for at_s in times]
        for crashing in pattern.crashing:
            crashing_times = itertools.chain(
                itertools.repeat(TROUBLE_AT_S, crashing.burst),
                self._times(TROUBLE_AT_S, crashing.per_s),
            )
            requests.extend(
                self._crashing(at_s, crashing) for at_s in crashing_times
            )
        return sorted(requests, key=lambda request: request.at_s)

    def _times(self, from_s: float, rate: float) -> Iterator[float]:
        now = from_s + self.rng.expovariate(rate)
        while now < self.pattern.seconds:
            yield now
            now += self.rng.expovariate(rate)

    def _sound(self, at_s: float) -> CrashRequest:
        first = self._popular('first', FIRST_PARTS)
        return self._request(at_s, [first, *self._second()])

    def _crashing(self, at_s: float, crashing: CrashingPart) -> CrashRequest:
        first = crashing.beside or self._popular('first', FIRST_PARTS)
        if crashing.is_first:
            # It belongs to the workspace of another first part.
            parts = [crashing.part, *self._second()]
            request = self._request(at_s, parts)
            return replace(
                request, crashes=crashing.part, workspace=_workspace('first-0')
            )
        request = self._request(at_s, [first, crashing.part])
        return replace(request, crashes=crashing.part)

    def _request(self, at_s: float, shared: list[str]) -> CrashRequest:
        number = next(self._numbers)
        spread = self.rng.uniform(1 - RUN_SPREAD, 1 + RUN_SPREAD)
        return CrashRequest(
            number,
            at_s,
            self.rng.randrange(self.vms),
            (*shared, f'last-{number}'),
            _workspace(shared[0]),
            spread * self.pattern.run_s,
        )

    def _second(self) -> list[str]:
        if self.pattern.invented_parts:
            drawn = self.rng.randrange(self.pattern.invented_parts)
            return [f'invented-{drawn}']
        if self.rng.random() >= SECOND_PART_SHARE:
            return []
        return [self._popular('second', SECOND_PARTS)]

    def _popular(self, kind: str, count: int) -> str:
        """Draw a part; the n-th one's share is as 1 to the n-th's root."""
        # The inverse of the distribution, as if the ranks were continuous.
        rank = count * self.rng.random() ** (1 / (1 - SKEW))
        return f'{kind}-{int(rank)}'


def draw_requests(
    pattern: CrashPattern, vms: int, engines: int, seed: int
) -> list[CrashRequest]:
    """Return the requests of a pattern, ordered by time."""
    rng = random.Random(seed)
    source = RequestSource(pattern, vms, engines, rng, itertools.count())
    return source.draw()


def _workspace(first_part: str) -> str:
    _, _, rank = first_part.rpartition('-')
    number = int(rank) // FIRST_PARTS_PER_WORKSPACE if rank.isdecimal() else 0
    return f'workspace-{number}'

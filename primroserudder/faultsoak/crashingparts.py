"""Parts of prompts that crash engines, in requests no two alike."""

import asyncio
from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass, field

import aiohttp

from ..platform import names
from ..testing.platformsite import HOST, KEY
from .callers import FIRST_PART, Exchange, RequestKind
from .crashingcontents import (
    EXTRA_S,
    MAX_LATE_SENDS,
    SEND_INTERVAL_S,
    SEND_TIMEOUT_S,
    late_arrivals,
)
from .plan import FaultInjector, FaultKind, PlannedFault
from .site import SoakSite

CRASHES_TO_KNOW = 5
# Sound requests are served again from this time after that crash.
SERVED_AGAIN_S = 6.0
MIN_SOUND_REQUESTS = 20


@dataclass(slots=True)
class CrashingParts:
    """Sends such requests to all routers in turn, beside sound callers."""

    site: SoakSite
    ended_at_by_part: dict[str, float] = field(default_factory=dict)

    def by_kind(self) -> Mapping[FaultKind, FaultInjector]:
        """Return the function that injects the fault."""
        return {FaultKind.PART_CRASHES: self._send_repeatedly}

    def violations(self, exchanges: Sequence[Exchange]) -> Iterator[str]:
        """Yield the parts stopped too late, or sound requests with them."""
        for part, ended_at in self.ended_at_by_part.items():
            arrivals = self._arrivals(part)
            late = late_arrivals(arrivals, CRASHES_TO_KNOW)
            if len(late) > MAX_LATE_SENDS:
                yield f'part {part} reached {len(late)} engines too late'
            if len(arrivals) < CRASHES_TO_KNOW:
                continue
            since = arrivals[CRASHES_TO_KNOW - 1] + SERVED_AGAIN_S
            refused = [
                exchange.is_quarantined()
                for exchange in exchanges
                if since <= exchange.began_at <= ended_at
            ]
            if len(refused) < MIN_SOUND_REQUESTS:
                continue
            if sum(refused) > len(refused) / 2:
                yield f'{sum(refused)} sound requests refused beside {part}'

    def _arrivals(self, part: str) -> list[float]:
        return sorted(
            arrival.received_at
            for engine in self.site.engines
            for arrival in engine.received_requests
            if part in arrival.shared_parts
        )

    async def _send_repeatedly(self, fault: PlannedFault) -> None:
        loop = asyncio.get_running_loop()
        part = f'c{len(self.ended_at_by_part)}'
        ends_at = loop.time() + fault.duration_s + 2 * EXTRA_S
        self.ended_at_by_part[part] = ends_at
        for engine in self.site.engines:
            engine.faults.crashing_parts.add(part)
        kinds = tuple(RequestKind)
        path = kinds[fault.target % len(kinds)].value
        number = 0
        async with aiohttp.ClientSession() as session:
            while loop.time() < ends_at:
                number += 1
                await self._send(session, path, part, number)
                await asyncio.sleep(SEND_INTERVAL_S)

    async def _send(
        self, session: aiohttp.ClientSession, path: str, part: str, number: int
    ) -> None:
        addresses = self.site.caller_addresses()
        address = addresses[number % len(addresses)]
        headers = {
            'Host': HOST,
            'Authorization': f'Bearer {KEY}',
            names.ATTEMPT_ID: f'{part}, {number}',
            names.MODEL: 'small',
            names.PREFIX_HASH: f'{FIRST_PART}:800,{part}:410,e{number}:9',
        }
        timeout = aiohttp.ClientTimeout(total=SEND_TIMEOUT_S)
        try:
            async with session.post(
                f'http://{address}{path}{number}',
                headers=headers,
                data=f'{part} {number}',
                timeout=timeout,
            ) as response:
                await response.read()
        except (aiohttp.ClientError, TimeoutError, OSError):
            # Routers and engines end under these requests.
            return

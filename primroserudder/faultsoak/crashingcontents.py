"""Contents that crash each engine that runs them, sent again and again."""

import asyncio
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field

import aiohttp

from ..platform import names
from ..testing.platformsite import HOST, KEY
from .callers import RequestKind
from .plan import FaultInjector, FaultKind, PlannedFault
from .site import SoakSite

SEND_INTERVAL_S = 0.1
SEND_TIMEOUT_S = 1.0
# The caller goes on this much longer than the planned duration.
EXTRA_S = 5.0
# All VMs must know of a third crash after this time; later sends count.
NOTICE_S = 3.0
CRASHES_TO_KNOW = 3
MAX_LATE_SENDS = 3


@dataclass(slots=True)
class CrashingContents:
    """Sends such contents to all routers in turn, each time under a new id."""

    site: SoakSite
    bodies: list[bytes] = field(default_factory=list)

    def by_kind(self) -> Mapping[FaultKind, FaultInjector]:
        """Return the function that injects the fault."""
        return {FaultKind.CONTENT_CRASHES: self._send_repeatedly}

    def violations(self) -> Iterator[str]:
        """Yield the contents that were sent on after the third crash."""
        for body in self.bodies:
            late = late_arrivals(self._arrivals(body))
            if len(late) > MAX_LATE_SENDS:
                yield f'{body!r} reached {len(late)} engines too late: {late}'

    def _arrivals(self, body: bytes) -> list[float]:
        return sorted(
            arrival.received_at
            for engine in self.site.engines
            for arrival in engine.received_requests
            if arrival.body == body
        )

    async def _send_repeatedly(self, fault: PlannedFault) -> None:
        body = f'content {len(self.bodies)} that crashes engines'.encode()
        self.bodies.append(body)
        for engine in self.site.engines:
            engine.faults.crashing_bodies.add(body)
        kinds = tuple(RequestKind)
        path = kinds[fault.target % len(kinds)].value
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + fault.duration_s + EXTRA_S
        number = 0
        async with aiohttp.ClientSession() as session:
            while loop.time() < ends_at:
                number += 1
                await self._send(session, path, body, number)
                await asyncio.sleep(SEND_INTERVAL_S)

    async def _send(
        self,
        session: aiohttp.ClientSession,
        path: str,
        body: bytes,
        number: int,
    ) -> None:
        addresses = self.site.caller_addresses()
        address = addresses[number % len(addresses)]
        headers = {
            'Host': HOST,
            'Authorization': f'Bearer {KEY}',
            names.ATTEMPT_ID: f'{body.decode()}, {number}',
            names.MODEL: 'small',
        }
        timeout = aiohttp.ClientTimeout(total=SEND_TIMEOUT_S)
        try:
            async with session.post(
                f'http://{address}{path}',
                headers=headers,
                data=body,
                timeout=timeout,
            ) as response:
                await response.read()
        except (aiohttp.ClientError, TimeoutError, OSError):
            # Routers and engines end under these requests.
            return


def late_arrivals(
    arrivals: list[float], crashes_to_know: int = CRASHES_TO_KNOW
) -> list[float]:
    """Return the arrivals at engines later than all VMs must know.

    Examples
    ========
    >>> late_arrivals([0, 1, 2, 4, 5.5])
    [5.5]
    """
    if len(arrivals) < crashes_to_know:
        return []
    known_at = arrivals[crashes_to_know - 1] + NOTICE_S
    return [arrival for arrival in arrivals if arrival > known_at]

"""Limits of a workspace's services, as this entry enforces its share."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from http import HTTPStatus

from ..errors import Ran, RudderError
from ..process.clock import Clock
from .caller import CallerRequest
from .limitshares import LimitKey, LimitKind, LimitShares

BURST_S = 1.0
LONGEST_RETRY_AFTER_S = 60.0
LEAST_RETRY_AFTER_S = 1.0


class LimitReached(RudderError):
    """A limit of the workspace's service is used up for now."""

    code = 'rate_limit_exceeded'
    status = HTTPStatus.TOO_MANY_REQUESTS
    ran = Ran.NO
    default_remedy = 'repeat after the time in Retry-After'


@dataclass(slots=True)
class Bucket:
    """A token bucket that may go into debt by one request.

    Explanation
    ===========
    A request is admitted while the level is above zero, whatever it costs, so
    that a request larger than this entry's share can pass at all.

    Examples
    ========
    >>> bucket = Bucket()
    >>> bucket.fill(rate=2, now=1)
    >>> bucket.level
    2.0
    >>> bucket.level -= 5
    >>> bucket.fill(rate=2, now=2), bucket.level
    (None, -1.0)
    """

    level: float = 0
    filled_at: float = float('-inf')

    def fill(self, rate: float, now: float) -> None:
        """Let time pass at a rate; at most ``BURST_S`` seconds are kept."""
        passed = now - self.filled_at
        burst = max(1, rate * BURST_S)
        grown = self.level + rate * min(passed, LONGEST_RETRY_AFTER_S)
        self.level = float(min(burst, grown))
        self.filled_at = now

    def wait(self, rate: float) -> float:
        """Return the seconds until the level is above zero."""
        return max(LEAST_RETRY_AFTER_S, -self.level / rate if rate else 0)


@dataclass(slots=True)
class Limiter:
    """Checks each request against the limits of its service."""

    clock: Clock
    allotments: LimitShares
    buckets_by_key: dict[LimitKey, Bucket] = field(default_factory=dict)

    def take(self, request: CallerRequest) -> None:
        """Count a request in.

        Raises
        ======
        LimitReached
            It doesn't fit; nothing was counted.
        """
        limits = request.service.limits
        rates = (
            (LimitKind.REQUESTS, limits.requests_per_s, 1),
            (LimitKind.TOKENS, limits.tokens_per_s, _tokens(request)),
        )
        buckets = [
            (self._bucket(_key(request, kind), limit, cost), cost)
            for kind, limit, cost in rates
            if limit is not None
        ]
        if limits.concurrency is not None:
            self._take_running(request, limits.concurrency)
        for bucket, cost in buckets:
            bucket.level -= cost

    def give_back(self, request: CallerRequest) -> None:
        """Count a request out that has ended."""
        key = _key(request, LimitKind.CONCURRENCY)
        held = self.allotments.by_key.get(key)
        if held is not None and held.running:
            held.running -= 1

    def dump(self) -> Mapping[str, object]:
        """Return shares and levels for the state dump."""
        now = self.clock.monotonic()
        shares = self.allotments.dump(now)
        return {
            'known_entries': self.allotments.known_entries(),
            'shares': shares,
        }

    def _bucket(self, key: LimitKey, limit: float, cost: float) -> Bucket:
        now = self.clock.monotonic()
        self.allotments.note_demand(key, limit, cost, now)
        rate = self.allotments.share(key, limit, now)
        bucket = self.buckets_by_key.setdefault(key, Bucket())
        bucket.fill(rate, now)
        if bucket.level > 0:
            return bucket
        wait = min(bucket.wait(rate), LONGEST_RETRY_AFTER_S)
        name = '/'.join(key)
        raise LimitReached(
            f'{name}: the limit of {limit} a second is used up',
            retry_after=wait,
        )

    def _take_running(self, request: CallerRequest, limit: int) -> None:
        key = _key(request, LimitKind.CONCURRENCY)
        now = self.clock.monotonic()
        held = self.allotments.held(key, limit)
        running = held.running
        self.allotments.note_demand(key, limit, running + 1, now)
        if running + 1 > self.allotments.share(key, limit, now):
            name = f'{key.workspace}/{key.service}'
            raise LimitReached(
                f'{name}: {running} requests run here: expected at most '
                f'{limit} on all entries',
                retry_after=LEAST_RETRY_AFTER_S,
            )
        held.running += 1


def _key(request: CallerRequest, kind: LimitKind) -> LimitKey:
    return LimitKey(request.workspace, request.service_name, kind)


def _tokens(request: CallerRequest) -> int:
    return request.prompt.count(' ') + 1 + request.max_tokens

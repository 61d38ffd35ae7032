"""Enforces this entry's share of the limits of workspace services."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from http import HTTPStatus

from ..errors import Ran, RudderError
from ..process.clock import Clock
from .caller import CallerRequest
from .limitshares import LimitKey, LimitKind, LimitShares

BURST_S = 1.0
MAX_RETRY_AFTER_S = 60.0
MIN_RETRY_AFTER_S = 1.0


class LimitReached(RudderError):
    """The request exceeds a limit of the workspace's service."""

    code = 'rate_limit_exceeded'
    status = HTTPStatus.TOO_MANY_REQUESTS
    ran = Ran.NO
    default_remedy = 'repeat after the time in Retry-After'


@dataclass(slots=True)
class TokenBucket:
    """Token bucket whose level one request can make negative.

    Explanation
    ===========
    A request is admitted while the level is above zero, regardless of its
    cost. Otherwise a request that costs more than this entry's share could
    never be admitted.

    Examples
    ========
    >>> bucket = TokenBucket()
    >>> bucket.refill(rate=2, now=1)
    >>> bucket.level
    2.0
    >>> bucket.level -= 5
    >>> bucket.refill(rate=2, now=2), bucket.level
    (None, -1.0)
    """

    level: float = 0
    refilled_at: float = float('-inf')

    def refill(self, rate: float, now: float) -> None:
        """Refill at a rate per second, up to ``BURST_S`` seconds of it."""
        elapsed = now - self.refilled_at
        burst = max(1, rate * BURST_S)
        refilled_level = self.level + rate * min(elapsed, MAX_RETRY_AFTER_S)
        self.level = float(min(burst, refilled_level))
        self.refilled_at = now

    def wait(self, rate: float) -> float:
        """Return seconds until the level is above zero, at least one."""
        return max(MIN_RETRY_AFTER_S, -self.level / rate if rate else 0)


@dataclass(slots=True)
class Limiter:
    """Checks each request against the limits of its service."""

    clock: Clock
    limit_shares: LimitShares
    buckets_by_key: dict[LimitKey, TokenBucket] = field(default_factory=dict)

    def acquire(self, request: CallerRequest) -> None:
        """Count a request against the limits of its service.

        Raises
        ======
        LimitReached
            The request exceeds a limit and is not counted.
        """
        limits = request.service.limits
        rates = (
            (LimitKind.REQUESTS, limits.requests_per_s, 1),
            (LimitKind.TOKENS, limits.tokens_per_s, _token_cost(request)),
        )
        buckets = [
            (self._checked_bucket(_key(request, kind), limit, cost), cost)
            for kind, limit, cost in rates
            if limit is not None
        ]
        if limits.concurrency is not None:
            self._acquire_slot(request, limits.concurrency)
        for bucket, cost in buckets:
            bucket.level -= cost

    def release(self, request: CallerRequest) -> None:
        """Stop counting a request against its concurrency limit."""
        key = _key(request, LimitKind.CONCURRENCY)
        state = self.limit_shares.by_key.get(key)
        if state is not None and state.running:
            state.running -= 1

    def dump(self) -> Mapping[str, object]:
        """Return the shares of all limits for the state dump."""
        now = self.clock.monotonic()
        shares = self.limit_shares.dump(now)
        return {
            'known_entries': self.limit_shares.entry_count(),
            'shares': shares,
        }

    def _checked_bucket(
        self, key: LimitKey, limit: float, cost: float
    ) -> TokenBucket:
        now = self.clock.monotonic()
        self.limit_shares.note_demand(key, limit, cost, now)
        rate = self.limit_shares.share(key, limit, now)
        bucket = self.buckets_by_key.setdefault(key, TokenBucket())
        bucket.refill(rate, now)
        if bucket.level > 0:
            return bucket
        wait = min(bucket.wait(rate), MAX_RETRY_AFTER_S)
        name = '/'.join(key)
        raise LimitReached(
            f'{name}: the limit of {limit} per second is used up',
            retry_after=wait,
        )

    def _acquire_slot(self, request: CallerRequest, limit: int) -> None:
        key = _key(request, LimitKind.CONCURRENCY)
        now = self.clock.monotonic()
        state = self.limit_shares.get_or_add(key, limit)
        running = state.running
        self.limit_shares.note_demand(key, limit, running + 1, now)
        if running + 1 > self.limit_shares.share(key, limit, now):
            name = f'{key.workspace}/{key.service}'
            raise LimitReached(
                f'{name}: {running} requests are running on this entry; the '
                f'limit for all entries is {limit}',
                retry_after=MIN_RETRY_AFTER_S,
            )
        state.running += 1


def _key(request: CallerRequest, kind: LimitKind) -> LimitKey:
    return LimitKey(request.workspace, request.service_name, kind)


def _token_cost(request: CallerRequest) -> int:
    return request.prompt.count(' ') + 1 + request.max_tokens

"""Checks callers' responses, engines' runs and routers' exits."""

from collections import Counter
from collections.abc import Container, Iterable, Iterator, Mapping, Sequence
from http import HTTPStatus

from ..standins.groupengine import ATTEMPT_ID, NOT_EXECUTED, SEAL, event
from .callers import Ending, Exchange, RequestKind
from .plan import MAX_DURATION_S
from .processes import RouterExit

# A router has read a request that started this long before the router ended.
IN_FLIGHT_MARGIN_S = 0.02
# Responses with these statuses promise that the request never runs.
NOT_RUN_STATUSES = frozenset(
    (
        HTTPStatus.UNAUTHORIZED,
        HTTPStatus.NOT_FOUND,
        HTTPStatus.REQUEST_TIMEOUT,
        HTTPStatus.MISDIRECTED_REQUEST,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
    )
)


def check_exchange(exchange: Exchange, events: int) -> Iterator[str]:
    """Return the violations in one caller's response.

    Parameters
    ==========
    events : int
        The number of events in a complete stream.
    """
    if (
        exchange.headers.get(ATTEMPT_ID, exchange.request_id)
        != exchange.request_id
    ):
        yield (
            f'{exchange.request_id}: response to {exchange.headers[ATTEMPT_ID]}'
        )
    if not exchange.is_served():
        if (
            exchange.kind is RequestKind.STREAM
            and exchange.status == HTTPStatus.OK
        ):
            yield from _check_prefix(exchange, events)
        return
    if SEAL not in exchange.headers:
        yield f'{exchange.request_id}: response without a seal'
    if exchange.kind is RequestKind.STREAM:
        yield from _check_prefix(exchange, events)
        if exchange.body != b''.join(map(event, range(1, events + 1))):
            yield (
                f'{exchange.request_id}: incomplete stream ended normally:'
                f' {exchange.body!r}'
            )
    elif not exchange.body.startswith(b'answer of '):
        yield f'{exchange.request_id}: {exchange.body!r}'


def check_runs(
    exchanges: Iterable[Exchange],
    runs_by_request: Mapping[str, int],
) -> Iterator[str]:
    """Return the mismatches between callers' responses and engines' runs."""
    for exchange in exchanges:
        runs = runs_by_request.get(exchange.request_id, 0)
        if exchange.kind is RequestKind.ONCE_ONLY and runs > 1:
            yield (
                f'{exchange.request_id} ran {runs} times but may run only once'
            )
        if runs and promises_no_run(exchange):
            yield (
                f'{exchange.request_id} ran {runs} times'
                f' despite status {exchange.status}'
            )
        if exchange.is_served() and not runs:
            yield f'{exchange.request_id} was answered but never ran'


def promises_no_run(exchange: Exchange) -> bool:
    """Return whether the response promises that the request never runs."""
    if exchange.ending is not Ending.ANSWERED:
        return False
    return (
        exchange.status in NOT_RUN_STATUSES or NOT_EXECUTED in exchange.headers
    )


def check_exits(exits: Iterable[RouterExit], grace_s: float) -> Iterator[str]:
    """Return the process exits that no signal explains."""
    for router_exit in exits:
        if not router_exit.is_expected(grace_s):
            sent = (
                ', '.join(number.name for number in router_exit.signals)
                or 'none'
            )
            incarnation = (
                f'{router_exit.router} incarnation {router_exit.incarnation}'
            )
            yield (
                f'{incarnation} ended with {router_exit.code}, signals {sent},'
                f' {router_exit.after_stop_s:.1f} s after its stop'
            )


def check_stops(
    exchanges: Sequence[Exchange],
    exits: Iterable[RouterExit],
    link_faults: Sequence[tuple[int, float]],
    received_ids: Container[str],
    grace_s: float,
) -> Iterator[str]:
    """Return the requests that a router cut by stopping too early.

    Explanation
    ===========
    A request counts only if it reached an engine. A request that was still in
    transit when the router closed its last connections was never read.

    Parameters
    ==========
    received_ids : collection of str
        The requests that reached an engine.
    link_faults : sequence of tuple
        Router numbers and the times of faults on the link from their callers.
    """
    received = [
        exchange
        for exchange in exchanges
        if exchange.request_id in received_ids
    ]
    for router_exit in exits:
        if not router_exit.is_early_stop(grace_s):
            continue
        cut = [
            exchange
            for exchange in received
            if _was_cut_by(exchange, router_exit)
        ]
        for exchange in cut:
            if not _is_explained_by_link_fault(exchange, link_faults):
                yield (
                    f'{exchange.request_id}: cut by the early stop of'
                    f' {router_exit.router}'
                )


def _was_cut_by(exchange: Exchange, router_exit: RouterExit) -> bool:
    is_cut = exchange.ending in {
        Ending.CUT_BEFORE_ANSWER,
        Ending.CUT_WITHIN_ANSWER,
    }
    was_in_flight = (
        exchange.began_at < router_exit.ended_at - IN_FLIGHT_MARGIN_S
    )
    ended_with_router = (
        abs(exchange.ended_at - router_exit.ended_at) < IN_FLIGHT_MARGIN_S
    )
    return (
        is_cut
        and was_in_flight
        and ended_with_router
        and exchange.router == router_exit.number
    )


def _is_explained_by_link_fault(
    exchange: Exchange, link_faults: Iterable[tuple[int, float]]
) -> bool:
    return any(
        router == exchange.router and exchange.began_at - MAX_DURATION_S <= at
        for router, at in link_faults
        if at <= exchange.ended_at
    )


def check_requests(state: Mapping[str, object]) -> Iterator[str]:
    """Return the requests without exactly one ending in a router's state.

    Parameters
    ==========
    state : mapping
        The state dump of a router, empty if the router did not respond.
    """
    violations = state.get('violations')
    if isinstance(violations, Mapping):
        yield from violations.values()
    requests = state.get('requests')
    if not isinstance(requests, Mapping):
        return
    ended = sum(requests['endings'].values())
    if requests['read'] != requests['under_way'] + ended:
        yield f'not each request that was read has an ending: {requests}'


def check_versions(versions: Sequence[int]) -> Iterator[str]:
    """Return each change of a process's configuration to an older version."""
    for before, after in zip(versions, versions[1:], strict=False):
        if after < before:
            yield f'configuration {after} in force after {before}'


def count_endings(exchanges: Iterable[Exchange]) -> Mapping[str, int]:
    """Return the number of exchanges by status, or by how they broke off."""
    endings = (
        str(exchange.status)
        if exchange.ending is Ending.ANSWERED
        else exchange.ending.name.lower()
        for exchange in exchanges
    )
    return dict(Counter(endings))


def _check_prefix(exchange: Exchange, events: int) -> Iterator[str]:
    """Check that the received bytes are a prefix of the complete stream."""
    complete = b''.join(map(event, range(1, events + 1)))
    if not complete.startswith(exchange.body):
        yield (
            f'{exchange.request_id}: not a prefix of the stream:'
            f' {exchange.body!r}'
        )

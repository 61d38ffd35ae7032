"""What must hold of all that callers were told and engines saw."""

from collections import Counter
from collections.abc import Container, Iterable, Iterator, Mapping, Sequence
from http import HTTPStatus

from ..standins.groupengine import ATTEMPT_ID, NOT_EXECUTED, SEAL, event
from .callers import Ending, RequestSort, Told
from .plan import LONGEST_S
from .processes import Exit

# A request that began so long before a process ended was read by it.
UNDER_WAY_S = 0.02
# These promise that the request never runs.
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


def check_told(told: Told, events: int) -> Iterator[str]:
    """Return what is wrong with one caller's answer.

    Parameters
    ==========
    events : int
        The events of a whole stream.
    """
    if told.headers.get(ATTEMPT_ID, told.request_id) != told.request_id:
        yield f'{told.request_id}: an answer to {told.headers[ATTEMPT_ID]}'
    if not told.is_served():
        if told.sort is RequestSort.STREAM and told.status == HTTPStatus.OK:
            yield from _check_pieces(told, events)
        return
    if SEAL not in told.headers:
        yield f'{told.request_id}: an answer without a seal'
    if told.sort is RequestSort.STREAM:
        yield from _check_pieces(told, events)
        if told.body != b''.join(map(event, range(1, events + 1))):
            yield f'{told.request_id}: ended as whole: {told.body!r}'
    elif not told.body.startswith(b'answer of '):
        yield f'{told.request_id}: {told.body!r}'


def check_runs(
    told: Iterable[Told],
    runs_by_request: Mapping[str, int],
) -> Iterator[str]:
    """Return what is wrong between callers' answers and engines' runs."""
    for one in told:
        runs = runs_by_request.get(one.request_id, 0)
        if one.sort is RequestSort.ONCE_ONLY and runs > 1:
            yield f'{one.request_id} ran {runs} times, it may run once'
        if runs and says_not_run(one):
            yield f'{one.request_id} ran {runs} times: told {one.status}'
        if one.is_served() and not runs:
            yield f'{one.request_id} was answered and never ran'


def says_not_run(told: Told) -> bool:
    """Return whether a caller was promised that its request never runs."""
    if told.ending is not Ending.ANSWERED:
        return False
    return told.status in NOT_RUN_STATUSES or NOT_EXECUTED in told.headers


def check_exits(exits: Iterable[Exit], grace_s: float) -> Iterator[str]:
    """Return the ends of processes that no signal explains."""
    for one in exits:
        if not one.is_expected(grace_s):
            sent = ', '.join(number.name for number in one.signals) or 'none'
            life = f'{one.router} life {one.life}'
            yield (
                f'{life} ended with {one.code}, signals {sent},'
                f' {one.stopped_for_s:.1f} s after its stop'
            )


def check_stops(
    told: Sequence[Told],
    exits: Iterable[Exit],
    cuts: Sequence[tuple[int, float]],
    ran: Container[str],
    grace_s: float,
) -> Iterator[str]:
    """Return the requests that a stop cut though it had time for them.

    Explanation
    ===========
    A request counts once an engine has it. One that was still on its way
    when the last connections were closed was not read by anybody.

    Parameters
    ==========
    ran : collection of str
        The requests that reached an engine.
    cuts : sequence of tuple
        Routers and times at which a fault struck the way to them.
    """
    known = [one for one in told if one.request_id in ran]
    for end in exits:
        if not end.is_early_stop(grace_s):
            continue
        cut = [one for one in known if _was_cut_by(one, end)]
        for one in cut:
            if not _is_excused(one, cuts):
                yield f'{one.request_id}: cut by the stop of {end.router}'


def _was_cut_by(told: Told, end: Exit) -> bool:
    is_cut = told.ending in {Ending.CUT_BEFORE_ANSWER, Ending.CUT_WITHIN_ANSWER}
    was_under_way = told.began_at < end.at - UNDER_WAY_S
    is_then = abs(told.ended_at - end.at) < UNDER_WAY_S
    return is_cut and was_under_way and is_then and told.router == end.number


def _is_excused(told: Told, cuts: Iterable[tuple[int, float]]) -> bool:
    return any(
        router == told.router and told.began_at - LONGEST_S <= at
        for router, at in cuts
        if at <= told.ended_at
    )


def check_versions(seen: Sequence[int]) -> Iterator[str]:
    """Return where a process's configuration became older again."""
    for before, after in zip(seen, seen[1:], strict=False):
        if after < before:
            yield f'configuration {after} in force after {before}'


def count_endings(told: Iterable[Told]) -> Mapping[str, int]:
    """Return how exchanges ended, by status or by what cut them."""
    endings = (
        str(one.status)
        if one.ending is Ending.ANSWERED
        else one.ending.name.lower()
        for one in told
    )
    return dict(Counter(endings))


def _check_pieces(told: Told, events: int) -> Iterator[str]:
    """Check that a stream is a beginning of the whole one."""
    whole = b''.join(map(event, range(1, events + 1)))
    if not whole.startswith(told.body):
        yield f'{told.request_id}: pieces out of order: {told.body!r}'

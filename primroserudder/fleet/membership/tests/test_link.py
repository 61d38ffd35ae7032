"""Tests which strikes a neighbour is told first."""

from ..link import MAX_STRIKES, Outbox
from ..notice import Facts, Strikes

STRUCK = ('part.a=i-1@1', 'part.a=i-2@1')


def _send(outbox: Outbox, known: Strikes) -> Strikes:
    sent = outbox.next_strikes(known)
    outbox.record_sent(Facts(), None, sent, now=0)
    return sent


def test_strike_that_became_void_is_told_at_once() -> None:
    # It was told as a strike before, and its neighbour goes on to refuse.
    outbox = Outbox()
    _send(outbox, Strikes(STRUCK))
    void = Strikes((), STRUCK)
    assert outbox.has_unsent(void)
    others = tuple(f'content-{number}=i-3@1' for number in range(40))
    _send(outbox, Strikes((), others))
    known = Strikes((), (*others, *STRUCK))
    told = {
        strike_id
        for _ in range(40 // MAX_STRIKES)
        for strike_id in _send(outbox, known).void
    }
    assert told >= set(STRUCK)


def test_outbox_forgets_what_is_no_longer_told() -> None:
    outbox = Outbox()
    for number in range(100):
        _send(outbox, Strikes((f'content-{number}=i-1@1',)))
    assert outbox.remembered_strikes <= 2 * MAX_STRIKES

"""An answer that arrives is waited for; one that is silent is not."""

from ....process.clock import SystemClock
from ..progress import ReadLimits, ReadProgress

LIMITS = ReadLimits(0.1, first_s=1.4, silence_s=0.5, arrival_s=6)


def _checks_until_given_up(progress: ReadProgress, octets_each: int) -> int:
    """Return the checks that an answer passes that grows each few checks."""
    checks = 0
    while progress.check(LIMITS) and checks < 1000:
        checks += 1
        if octets_each and not checks % octets_each:
            progress.note(checks)
    return checks


def test_head_is_waited_for() -> None:
    assert _checks_until_given_up(ReadProgress(SystemClock()), 0) == 14


def test_silent_answer_is_given_up() -> None:
    progress = ReadProgress(SystemClock())
    progress.note_head()
    assert _checks_until_given_up(progress, 0) == 5


def test_answer_that_trickles_without_end_is_given_up() -> None:
    progress = ReadProgress(SystemClock())
    progress.note_head()
    assert _checks_until_given_up(progress, 4) == 60

"""In-memory records of the minted keys that this process has run."""

from collections.abc import Mapping
from dataclasses import dataclass, field, replace

from ..errors import Ran
from ..process.clock import Clock
from .answer import StoredAnswer
from .keyerrors import KeyMemoryFull
from .mintedkey import MINTED_KEY_LIFETIME_S

MAX_RECORDS = 20_000
MAX_ANSWER_BYTES = 8_388_608
RETRY_AFTER_S = 5


@dataclass(frozen=True, slots=True)
class MemoryRecord:
    """The only attempt of a minted key; times are in monotonic seconds."""

    digest: str
    started_at: float
    is_ended: bool = False
    ran: Ran = Ran.UNKNOWN
    answer: StoredAnswer | None = None


@dataclass(slots=True)
class KeyMemory:
    """Keeps the record of each used key for as long as the key is valid.

    Explanation
    ===========
    A record is never dropped while its key is valid: if the memory is full,
    new keys are refused instead. Stored answers are evicted oldest first
    when they exceed ``max_answer_bytes``.
    """

    clock: Clock
    max_records: int = MAX_RECORDS
    max_answer_bytes: int = MAX_ANSWER_BYTES
    by_nonce: dict[int, MemoryRecord] = field(default_factory=dict)
    answer_bytes: int = 0
    _answer_bytes_by_nonce: dict[int, int] = field(default_factory=dict)

    def find(self, nonce: int) -> MemoryRecord | None:
        """Return the record of a key, or ``None`` if it was not used."""
        return self.by_nonce.get(nonce)

    def start(self, nonce: int, digest: str) -> None:
        """Record that the only attempt of a key begins.

        Raises
        ======
        KeyMemoryFull
            There is no room for another record; the key has not run.
        """
        self._drop_expired()
        if len(self.by_nonce) >= self.max_records:
            raise KeyMemoryFull(
                f'this entry already holds records of {self.max_records} '
                'keys, the maximum',
                retry_after=RETRY_AFTER_S,
            )
        now = self.clock.monotonic()
        self.by_nonce[nonce] = MemoryRecord(digest, now)

    def finish(
        self,
        nonce: int,
        ran: Ran,
        answer: StoredAnswer | None = None,
    ) -> None:
        """Record the outcome of the attempt."""
        record = self.by_nonce.get(nonce)
        if record is None:
            return
        self.by_nonce[nonce] = replace(
            record,
            is_ended=True,
            ran=ran,
            answer=answer,
        )
        if answer is not None:
            self._answer_bytes_by_nonce[nonce] = len(answer.body)
            self.answer_bytes += len(answer.body)
            self._drop_oldest_answers()

    def release(self, nonce: int) -> None:
        """Remove the record of a key whose attempt did not run."""
        self.by_nonce.pop(nonce, None)

    def dump(self) -> Mapping[str, int]:
        """Return the counts and bytes for the state dump."""
        return {
            'records': len(self.by_nonce),
            'answers': len(self._answer_bytes_by_nonce),
            'answer_bytes': self.answer_bytes,
        }

    def _drop_oldest_answers(self) -> None:
        while self.answer_bytes > self.max_answer_bytes:
            oldest = next(iter(self._answer_bytes_by_nonce))
            record = self.by_nonce[oldest]
            self.by_nonce[oldest] = replace(record, answer=None)
            self.answer_bytes -= self._answer_bytes_by_nonce.pop(oldest)

    def _drop_expired(self) -> None:
        # ``by_nonce`` is ordered by start time.
        earliest = self.clock.monotonic() - MINTED_KEY_LIFETIME_S
        while self.by_nonce:
            oldest = next(iter(self.by_nonce))
            if self.by_nonce[oldest].started_at >= earliest:
                return
            self.by_nonce.pop(oldest)
            self.answer_bytes -= self._answer_bytes_by_nonce.pop(oldest, 0)

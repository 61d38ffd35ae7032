"""Log lines on what this VM read from whom."""

from dataclasses import dataclass

from ...process.decisions import DecisionLog
from ...process.tablepages import StoreVersion
from .progress import ReadProgress

# Answers of this size are logged.
LARGE_ANSWER_BYTES = 16_384


@dataclass(frozen=True, slots=True)
class ReadLog:
    """Logs reads that failed, and those of whole tables or large changes."""

    log: DecisionLog

    def note_page(
        self,
        table: str,
        source: str,
        since: StoreVersion,
        rows: int,
        progress: ReadProgress,
    ) -> None:
        """Log an answer if it is large or a whole table, which is rare."""
        is_whole = not since.revision
        if is_whole or progress.octets >= LARGE_ANSWER_BYTES:
            self.log.note(
                'table_read',
                table=table,
                source=source,
                since=since.revision,
                rows=rows,
                **progress.fields(),
            )

    def note_left(
        self,
        table: str,
        relay: str,
        since: StoreVersion,
        reason: str,
        progress: ReadProgress,
    ) -> None:
        """Log why a relay is not queried for a while."""
        self.log.note(
            'relay_left',
            relay=relay,
            reason=reason,
            table=table,
            since=since.revision,
            **progress.fields(),
        )

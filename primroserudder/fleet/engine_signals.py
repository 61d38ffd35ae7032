"""Acts on what engines say of themselves in responses.

Explanation
===========
An engine that leaves says so in every response, often before the list of
engines does. An engine that refuses a request may name a time in which it
wants no further ones, and one in need names the requests a second that it
takes. All of this holds for one incarnation of the engine: one that
the list shows with another start time is a new engine.
"""

from dataclasses import dataclass

from ..platform.signals import EngineSignals
from ..process.decisions import DecisionLog
from .directory import Directory
from .enginelimits import LimitRegistry, incarnation_key
from .health import TargetHealth
from .model import Target

# A longer time is not credible for an engine that is still listed.
MAX_BACK_OFF_S = 120.0


@dataclass(slots=True)
class EngineSignalHandler:
    """Excludes engines that leave or back off from new requests."""

    directory: Directory
    health: TargetHealth
    limits: LimitRegistry
    log: DecisionLog

    def note(self, target: Target, signals: EngineSignals) -> None:
        """Record the signals in the header fields of a target's response."""
        if signals.is_leaving:
            self._note_leaving(target)
        if signals.retry_after:
            self._note_back_off(target, signals)
        if signals.limit is not None:
            self._note_limit(target, signals)
        elif signals.is_unlimited:
            self._note_unlimited(target)

    def _note_leaving(self, target: Target) -> None:
        if self.directory.note_leaving(target.engine_id, target.born_ms):
            self.log.note(
                'engine_leaving',
                engine=target.engine_id,
                born=target.born_ms,
                group=target.group,
            )

    def _note_back_off(self, target: Target, signals: EngineSignals) -> None:
        seconds = signals.retry_after_s
        if seconds is None:
            self.log.note(
                'retry_after_malformed',
                engine=target.engine_id,
                text=signals.retry_after,
            )
            return
        back_off_s = min(seconds, MAX_BACK_OFF_S)
        self.health.note_back_off(target, back_off_s)
        self.log.note(
            'engine_backs_off',
            engine=target.engine_id,
            seconds=back_off_s,
            asked_s=seconds,
        )

    def _note_limit(self, target: Target, signals: EngineSignals) -> None:
        rate = signals.limit_per_s
        if rate is None:
            self.log.note(
                'limit_malformed', engine=target.engine_id, text=signals.limit
            )
            return
        key = incarnation_key(target)
        is_new = self.limits.rate_per_s(key) is None
        self.limits.note(key, rate)
        if is_new:
            self.log.note(
                'engine_limit',
                engine=target.engine_id,
                born=target.born_ms,
                requests_per_s=rate,
            )

    def _note_unlimited(self, target: Target) -> None:
        if self.limits.is_empty():
            return
        key = incarnation_key(target)
        if self.limits.rate_per_s(key) is not None:
            self.limits.note_unlimited(key)
            self.log.note('engine_limit_ended', engine=target.engine_id)

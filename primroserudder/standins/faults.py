"""Faults that a stand-in shows on request."""

import asyncio
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from ..process.platform import OutcomeUnknown, PlatformUnavailable


@dataclass(slots=True)
class PlatformFaults:
    """Faults of the platform; all are off at first."""

    is_down: bool = False
    delay_s: float = 0
    lose_answers: int = 0
    cut_parties: set[str] = field(default_factory=set)

    async def before(self, party: str) -> None:
        """Delay or refuse an operation of a party."""
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        if self.is_down or party in self.cut_parties:
            raise PlatformUnavailable('the platform is down')

    def after_write(self) -> None:
        """Lose the answer to a write that took effect."""
        if self.lose_answers:
            self.lose_answers -= 1
            raise OutcomeUnknown('the answer was lost')


@dataclass(slots=True)
class EngineFaults:
    """Faults of one engine; all are off at first."""

    is_dead: bool = False
    is_paused: bool = False
    slowdown: float = 1
    crash_on: str = ''
    cut_parties: set[str] = field(default_factory=set)


Faults = PlatformFaults | EngineFaults


def change_faults(faults: Faults, wanted: Mapping[str, Any]) -> None:
    """Set faults by name; lists become sets of parties."""
    for name, setting in wanted.items():
        kept = set(setting) if isinstance(setting, list) else setting
        setattr(faults, name, kept)

"""Faults that tests and operators inject into a stand-in."""

import asyncio
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from ..process.platform import OutcomeUnknown, PlatformUnavailable


@dataclass(slots=True)
class PlatformFaults:
    """Injected faults of the platform; all are off by default."""

    is_down: bool = False
    delay_s: float = 0
    lose_answers: int = 0
    cut_parties: set[str] = field(default_factory=set)

    async def fail_call(self, party: str) -> None:
        """Delay or fail an operation of a party, as the faults say."""
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        if self.is_down or party in self.cut_parties:
            raise PlatformUnavailable('the platform is down')

    def fail_after_write(self) -> None:
        """Fail a write that took effect, as if its response were lost."""
        if self.lose_answers:
            self.lose_answers -= 1
            raise OutcomeUnknown('the response was lost')


@dataclass(slots=True)
class EngineFaults:
    """Injected faults of one engine; all are off by default."""

    is_dead: bool = False
    is_paused: bool = False
    slowdown: float = 1
    crash_on: str = ''
    cut_parties: set[str] = field(default_factory=set)


Faults = PlatformFaults | EngineFaults


def change_faults(faults: Faults, settings_by_name: Mapping[str, Any]) -> None:
    """Set faults by field name; lists become sets of parties."""
    for name, setting in settings_by_name.items():
        fault_value = set(setting) if isinstance(setting, list) else setting
        setattr(faults, name, fault_value)

"""Router processes: started, signalled and watched."""

import asyncio
import pathlib
import signal
import sys
from asyncio.subprocess import Process
from collections.abc import Mapping
from dataclasses import dataclass, field

import orjson

PROGRAM = ('-m', 'primroserudder.programs.router')
EXIT_OK = 0
STARTED = b'"decision":"start"'
# A stop ends by itself this long after the grace time at the latest.
STOP_MARGIN_S = 3.0


@dataclass(frozen=True, slots=True)
class Exit:
    """How one life of a router ended.

    Parameters
    ==========
    number : int
        The VM's place in the site, the same for one that replaces another.
    signals : tuple of signal.Signals
        What the soak sent to it.
    at : float
        The loop's time of the end.
    """

    router: str
    number: int
    life: int
    code: int
    signals: tuple[signal.Signals, ...]
    stopped_for_s: float
    at: float = 0
    has_started: bool = True

    def is_early_stop(self, grace_s: float) -> bool:
        """Return whether it ended by itself, before its time was over."""
        if {signal.SIGKILL, signal.SIGSTOP}.intersection(self.signals):
            return False
        return self.has_started and self.stopped_for_s < grace_s

    def is_expected(self, grace_s: float) -> bool:
        """Return whether the soak's signals explain the exit."""
        if signal.SIGKILL in self.signals:
            return True
        if not self.has_started:
            # Before its first line it has no callers that it could fail.
            return signal.SIGTERM in self.signals
        is_clean = signal.SIGTERM in self.signals and self.code == EXIT_OK
        was_paused = signal.SIGSTOP in self.signals
        is_timely = self.stopped_for_s < grace_s + STOP_MARGIN_S
        return is_clean and (is_timely or was_paused)


@dataclass(slots=True)
class RouterProcess:
    """One VM's router, over all of its lives."""

    name: str
    number: int
    ip: str
    settings: Mapping[str, object]
    folder: pathlib.Path
    life: int = 0
    exits: list[Exit] = field(default_factory=list)
    _process: Process | None = None
    _signals: list[signal.Signals] = field(default_factory=list)
    _stop_asked_at: float = 0

    @property
    def pid(self) -> int:
        """Return the process id, zero if none runs."""
        process = self._process
        if process is None or process.returncode is not None:
            return 0
        return process.pid

    def log_path(self) -> pathlib.Path:
        """Return where the output of the current life lies."""
        return self.folder / f'{self.name}.{self.life}.log'

    async def start(self) -> None:
        """Begin a new life."""
        self.life += 1
        self._signals = []
        path = self.folder / f'{self.name}.json'
        path.write_bytes(orjson.dumps(self.settings))
        with self.log_path().open('wb') as output:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                *PROGRAM,
                '--settings',
                str(path),
                stdout=output,
                stderr=asyncio.subprocess.STDOUT,
            )

    def send(self, number: signal.Signals) -> None:
        """Send a signal, if the process lives."""
        if not self.pid or self._process is None:
            return
        if number is signal.SIGTERM and number not in self._signals:
            self._stop_asked_at = asyncio.get_running_loop().time()
        self._signals.append(number)
        self._process.send_signal(number)

    async def wait(self) -> None:
        """Wait for the end of this life and note it."""
        if self._process is None:
            return
        code = await self._process.wait()
        now = asyncio.get_running_loop().time()
        self._process = None
        stopped_for_s = now - self._stop_asked_at
        self.exits.append(
            Exit(
                self.name,
                self.number,
                self.life,
                code,
                tuple(self._signals),
                stopped_for_s,
                now,
                has_started=STARTED in self.log_path().read_bytes(),
            )
        )

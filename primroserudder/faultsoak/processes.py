"""Starts and signals router processes, and records their exits."""

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
START_LOG_MARK = b'"decision":"start"'
# A stopping router exits at most this long after its grace time.
STOP_MARGIN_S = 3.0


@dataclass(frozen=True, slots=True)
class RouterExit:
    """The exit of one incarnation of a router.

    Parameters
    ==========
    number : int
        The VM's index in the site; a replacement VM has the same number.
    signals : tuple of signal.Signals
        The signals that the soak sent, in order.
    ended_at : float
        The event loop's time of the exit, in seconds.
    """

    router: str
    number: int
    incarnation: int
    code: int
    signals: tuple[signal.Signals, ...]
    after_stop_s: float
    ended_at: float = 0
    has_started: bool = True

    def is_early_stop(self, grace_s: float) -> bool:
        """Return whether the router exited before its grace time was over."""
        if {signal.SIGKILL, signal.SIGSTOP}.intersection(self.signals):
            return False
        return self.has_started and self.after_stop_s < grace_s

    def is_expected(self, grace_s: float) -> bool:
        """Return whether the soak's signals explain the exit."""
        if signal.SIGKILL in self.signals:
            return True
        if not self.has_started:
            # A router serves no callers before its first log line.
            return signal.SIGTERM in self.signals
        is_clean = signal.SIGTERM in self.signals and self.code == EXIT_OK
        was_paused = signal.SIGSTOP in self.signals
        is_timely = self.after_stop_s < grace_s + STOP_MARGIN_S
        return is_clean and (is_timely or was_paused)


@dataclass(slots=True)
class RouterProcess:
    """One VM's router, over all of its incarnations."""

    name: str
    number: int
    ip: str
    settings: Mapping[str, object]
    folder: pathlib.Path
    incarnation: int = 0
    exits: list[RouterExit] = field(default_factory=list)
    _process: Process | None = None
    _signals: list[signal.Signals] = field(default_factory=list)
    _stop_requested_at: float = 0

    @property
    def pid(self) -> int:
        """Return the process id, or zero if no process runs."""
        process = self._process
        if process is None or process.returncode is not None:
            return 0
        return process.pid

    def log_path(self) -> pathlib.Path:
        """Return the path of the current incarnation's output."""
        return self.folder / f'{self.name}.{self.incarnation}.log'

    async def start(self) -> None:
        """Start a new incarnation."""
        self.incarnation += 1
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

    def send(self, signal_number: signal.Signals) -> None:
        """Send a signal if the process runs."""
        if not self.pid or self._process is None:
            return
        if (
            signal_number is signal.SIGTERM
            and signal_number not in self._signals
        ):
            self._stop_requested_at = asyncio.get_running_loop().time()
        self._signals.append(signal_number)
        self._process.send_signal(signal_number)

    async def wait(self) -> None:
        """Wait for the process to exit and record the exit."""
        if self._process is None:
            return
        code = await self._process.wait()
        now = asyncio.get_running_loop().time()
        self._process = None
        after_stop_s = now - self._stop_requested_at
        self.exits.append(
            RouterExit(
                self.name,
                self.number,
                self.incarnation,
                code,
                tuple(self._signals),
                after_stop_s,
                now,
                has_started=START_LOG_MARK in self.log_path().read_bytes(),
            )
        )

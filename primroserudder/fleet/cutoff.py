"""The end of a stopping process's work on requests."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

from ..errors import Ran, RudderError
from ..request.dispatch import DispatchRecord


class CutOff(Exception):
    """The process stops, and the work on a request has to end."""


class StoppedBeforeRun(RudderError):
    """The process stops, and the request has not run."""

    code = 'stopping'
    status = 503
    ran = Ran.NO
    default_remedy = 'send the request again on a new connection'


class StoppedWithinRun(RudderError):
    """The process stops, and the request may have run."""

    code = 'stopped_within_run'
    status = 502
    default_remedy = 'check whether the request took effect before retrying it'


@dataclass(slots=True)
class Cutoff:
    """Ends the work on all requests at once, so that they can be refused."""

    is_reached: bool = False
    _timeouts: set[asyncio.Timeout] = field(default_factory=set)

    def reach(self) -> None:
        """End the work on all requests."""
        self.is_reached = True
        now = asyncio.get_running_loop().time()
        for timeout in self._timeouts:
            timeout.reschedule(now)

    @asynccontextmanager
    async def limited(self) -> AsyncIterator[None]:
        """Limit the block to the time before the cutoff.

        Raises
        ======
        CutOff
            The cutoff ended the block.
        """
        timeout = asyncio.timeout(0 if self.is_reached else None)
        try:
            async with timeout:
                self._timeouts.add(timeout)
                yield
        except TimeoutError as error:
            if timeout.expired():
                raise CutOff from error
            raise
        finally:
            self._timeouts.discard(timeout)


def stop_error(dispatch: DispatchRecord | None) -> RudderError:
    """Return what a request is told whose work was cut off.

    Parameters
    ==========
    dispatch : DispatchRecord or None
        The request's record, none if the request was not read whole.
    """
    if dispatch is None:
        return StoppedBeforeRun('this router stops')
    if dispatch.ran is Ran.NO:
        return dispatch.close(StoppedBeforeRun('this router stops'))
    return dispatch.close(StoppedWithinRun('this router stops'))

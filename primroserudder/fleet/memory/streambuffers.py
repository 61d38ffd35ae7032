"""What was read from an engine for a stream and not sent to its caller."""

from dataclasses import dataclass

import aiohttp

from ..events import EventSplitter


@dataclass(slots=True)
class StreamBuffers:
    """Buffers of one stream between engine and caller.

    Parameters
    ==========
    taken_bytes : int
        Bytes of the body that the stream has taken from its reader.
    """

    response: aiohttp.ClientResponse
    splitter: EventSplitter
    taken_bytes: int = 0

    def size(self) -> int:
        """Return how many bytes are buffered.

        Explanation
        ===========
        While a caller is waited for, the last piece that was read is held
        beside its copy in the splitter.
        """
        unread = self.response.content.total_bytes - self.taken_bytes
        return unread + 2 * self.splitter.size

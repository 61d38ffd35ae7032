"""Large responses that are still growing; the largest gives way to others.

Explanation
===========
An engine that sends without end makes the largest response, whoever asks next.
Small responses and new requests keep what the large ones may not take.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

# Smaller ones count as ordinary: they end soon, and free little.
LARGE_RESPONSE_BYTES = 65_536


@dataclass(slots=True, eq=False)
class GrowingResponse:
    """A response that an engine sends, as far as it is held.

    Parameters
    ==========
    give_way : Callable
        Ends the response soon, and frees what it holds.
    """

    give_way: Callable[[], object]
    octets: int = 0


@dataclass(slots=True)
class LargeResponses:
    """The large responses under way.

    Parameters
    ==========
    leaving : set of GrowingResponse
        Those that have given way and are not freed yet.
    """

    growing: set[GrowingResponse] = field(default_factory=set)
    leaving: set[GrowingResponse] = field(default_factory=set)

    @property
    def leaving_bytes(self) -> int:
        """Return what is free soon, as its responses have given way."""
        return sum(response.octets for response in self.leaving)

    def note(self, response: GrowingResponse) -> None:
        """Note that a response has grown."""
        is_large = response.octets > LARGE_RESPONSE_BYTES
        if is_large and response not in self.leaving:
            self.growing.add(response)

    def forget(self, response: GrowingResponse) -> None:
        """Note that a response is whole, or holds nothing any more."""
        self.growing.discard(response)
        self.leaving.discard(response)

    def let_largest_give_way(self, growing: GrowingResponse) -> bool:
        """Let the largest give way; return whether that is another one."""
        largest = max(
            self.growing, key=lambda other: other.octets, default=growing
        )
        if largest.octets <= growing.octets:
            return False
        self.growing.discard(largest)
        self.leaving.add(largest)
        largest.give_way()
        return True

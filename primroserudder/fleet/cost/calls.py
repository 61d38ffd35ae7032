"""Follows callers' requests for the costs of a router.

Explanation
===========
Requests to services without engine times, and those that go to another router,
are not followed, and their targets are rated by the share of slots in use.
"""

from dataclasses import dataclass

from ..balancing import Rating, slots_in_use
from ..call import Call
from ..model import RequestKind, Target
from .costs import RequestCosts, StreamTimes
from .estimate import RequestSize


@dataclass(frozen=True, slots=True)
class CallCosts:
    """Rates targets for calls, and learns from how their attempts went.

    Parameters
    ==========
    is_enabled : bool
        Whether the router's settings ask for the choice by cost.
    """

    costs: RequestCosts
    is_enabled: bool = True

    def prepare(self, call: Call) -> None:
        """Estimate the work of a call, if its service states times."""
        if not self.is_enabled:
            return
        metadata = call.metadata
        size = RequestSize(
            metadata.model,
            call.destination.route.name,
            call.destination.workspace.name,
            metadata.prompt_tokens,
            metadata.answer_tokens,
            metadata.expected_answer_tokens,
        )
        service = call.destination.service
        call.cost = self.costs.request(call.pool, service.engine, size)

    def rating(self, call: Call) -> Rating:
        """Return the rating of targets for a call."""
        if call.cost is None:
            return slots_in_use
        return self.costs.rating(call.cost)

    def begin(self, call: Call, target: Target) -> None:
        """Note that a call got a slot."""
        if call.cost is not None and not target.is_router:
            self.costs.begin(call.cost, target)

    def first_event(self, call: Call, target: Target) -> None:
        """Note that the first event of an attempt came."""
        if call.cost is not None:
            self.costs.first_event(call.cost, target)

    def end(self, call: Call, target: Target) -> None:
        """Note that a call released its slot."""
        if call.cost is not None:
            self.costs.end(call.cost, target)

    def learn(
        self, call: Call, target: Target, stream: StreamTimes, *, is_whole: bool
    ) -> None:
        """Learn from a stream that ended, while the call has its slot."""
        if call.cost is None or target.is_router:
            return
        self.costs.learn_pace(call.cost, target, stream)
        is_from_begin = not (call.metadata.last_event_id or call.tried_engines)
        if is_whole and is_from_begin and stream.events:
            self.costs.learn_answer(call.cost, stream.events)

    def learn_plain(self, call: Call, seconds: float) -> None:
        """Learn from the whole answer of a plain service."""
        if not self.is_enabled:
            return
        route = call.destination.route
        if not call.destination.service.engine and (
            route.kind is not RequestKind.STREAM
        ):
            self.costs.estimator.record_plain(route.name, seconds)

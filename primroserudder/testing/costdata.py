"""Builders of requests with a cost, and of the engines that serve them."""

from ..fleet.cost import CostedRequest, RequestCosts, RequestSize
from ..fleet.membership import InFlightCounts
from ..fleet.model import EngineSpec, EngineTimes, ModelSpec
from ..process.decisions import DecisionLog
from ..process.metrics import Metrics
from .fleetdata import ManualClock

TIMES = EngineTimes(
    step_s=0.00607,
    read_tokens_per_s=46_000,
    request_s=0.000482,
    context_token_s=2e-8,
    pair_s=1e-9,
    chunk_tokens=2048,
    steps_per_pass=5,
    usual_prompt_tokens=900,
    usual_answer_tokens=60,
)
SLOTS = 17
KV_TOKENS = 700_000
POOL = 'model/small'


class RecordingLog(DecisionLog):
    """Keeps the names of the decisions instead of writing them."""

    names: list[str]

    def note(self, decision: str, **_inputs: object) -> None:
        """Keep the name of a decision."""
        self.__dict__.setdefault('names', []).append(decision)


def costed_spec(
    kv_tokens: int = KV_TOKENS, times: EngineTimes | None = TIMES
) -> EngineSpec:
    """Return settings of engines with stated times."""
    models = {
        'large': ModelSpec('large', 8, 1, 16, 1.6),
        'small': ModelSpec('small', 4, 1, 12, 1.1, pace=0.6),
    }
    return EngineSpec(SLOTS, models, kv_tokens, 14, 21, times)


def size(
    prompt: int = 900,
    longest: int = 400,
    hint: int = 0,
    model: str = 'small',
    route: str = 'notes',
    workspace: str = 'north',
) -> RequestSize:
    """Return the size of a request."""
    return RequestSize(model, route, workspace, prompt, longest, hint)


def request_costs(
    counts: InFlightCounts | None = None,
    clock: ManualClock | None = None,
    node: str = 'vm-1',
) -> RequestCosts:
    """Return the costs of a router that just started."""
    used_clock = clock or ManualClock()
    return RequestCosts(
        node,
        counts or InFlightCounts(),
        used_clock,
        Metrics(),
        RecordingLog(clock=used_clock),
    )


def costed(
    costs: RequestCosts,
    request: RequestSize | None = None,
    spec: EngineSpec | None = None,
) -> CostedRequest:
    """Return a request that a router estimated."""
    made = costs.request(POOL, spec or costed_spec(), request or size())
    if made is None:
        raise ValueError('the engines of this request state no times')
    return made

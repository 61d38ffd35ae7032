"""Loads in which requests with one part of a prompt crash engines."""

from dataclasses import dataclass
from types import MappingProxyType

from .crashfaults import (
    EngineLosses,
    Fault,
    GarbledAnswers,
    Kill,
    NoticesLost,
    RestartOfVms,
    SilentSecond,
)

# The time at which the trouble of a pattern begins, in seconds.
TROUBLE_AT_S = 6.0
ANY_FIRST_PART = ''


@dataclass(frozen=True, slots=True)
class CrashingPart:
    """A part under which each engine ends that begins to write an answer.

    Parameters
    ==========
    beside : str
        First part of all requests with it; empty if they have any.
    is_first : bool
        Whether it is itself the first part of the requests.
    burst : int
        Requests with it that arrive at the same moment, at different VMs.
    """

    part: str = 'c0ffee01'
    per_s: float = 8
    beside: str = ANY_FIRST_PART
    is_first: bool = False
    burst: int = 0


@dataclass(frozen=True, slots=True)
class CrashPattern:
    """A load, the parts that crash engines, and other trouble beside it.

    Parameters
    ==========
    load : str
        What it stands for, in one line.
    run_s : float
        Mean time for which an engine writes an answer, in seconds.
    repair_s : float
        Time after which an engine that ended is back, in seconds.
    invented_parts : int
        Number of parts that callers make up; each is used once or twice.
    requests_per_engine : float
        Requests that run on an engine at the same time, on average.
    prompt_s : tuple of float
        Least and most time before an engine begins to write, in seconds.
    affinity : float
        Chance that a request goes to the engine of its first part.
    """

    name: str
    load: str
    crashing: tuple[CrashingPart, ...] = (CrashingPart(),)
    faults: tuple[Fault, ...] = ()
    seconds: float = 36
    run_s: float = 2
    repair_s: float = 4
    repeat_share: float = 0.5
    invented_parts: int = 0
    requests_per_engine: float = 12
    prompt_s: tuple[float, float] = (0.1, 0.4)
    affinity: float = 0.5


PATTERNS = (
    CrashPattern('any first', 'a part that all workspaces use'),
    CrashPattern(
        'one first',
        'a part that one workspace uses below its system prompt',
        (CrashingPart(beside='first-3'),),
    ),
    CrashPattern(
        'is first',
        'a system prompt that crashes engines',
        (CrashingPart(is_first=True),),
    ),
    CrashPattern(
        'two parts',
        'two crashing parts at once',
        (
            CrashingPart(per_s=5),
            CrashingPart('c0ffee02', per_s=5, beside='first-0'),
        ),
    ),
    CrashPattern(
        'burst',
        'a batch job that starts 30 requests at the same moment',
        (CrashingPart(burst=30),),
    ),
    CrashPattern(
        'rare',
        'a crashing request every four seconds',
        (CrashingPart(per_s=0.25),),
        seconds=60,
    ),
    CrashPattern(
        'busy fleet',
        'three quarters of the engines are down; answers take long',
        faults=(Kill(3, 0.75, 25),),
        run_s=8,
        requests_per_engine=6,
    ),
    CrashPattern(
        'herd of kills',
        'no crashing part; 60% of the engines end at once',
        (),
        (Kill(TROUBLE_AT_S, 0.6, 8),),
    ),
    CrashPattern(
        'dark domain',
        'no crashing part; a failure domain is lost and comes back',
        (),
        (Kill(TROUBLE_AT_S, 0, 12, is_domain=True),),
    ),
    CrashPattern(
        'rolling loss',
        'no crashing part; an engine ends every 2.5 s',
        (),
        (EngineLosses(TROUBLE_AT_S, 2.5),),
        seconds=60,
    ),
    CrashPattern(
        'garbled',
        'no crashing part; connections to a third of the engines break',
        (),
        (GarbledAnswers(TROUBLE_AT_S, 8, 0.33),),
    ),
    CrashPattern(
        'silent second',
        'no crashing part; half of the engines are silent for a second',
        (),
        (SilentSecond(TROUBLE_AT_S, 0.5),),
    ),
    CrashPattern(
        'part and kills',
        'a crashing part while 60% of the engines end at once',
        faults=(Kill(TROUBLE_AT_S + 1, 0.6, 8),),
    ),
    CrashPattern(
        'part and losses',
        'a crashing part while an engine ends every 2.5 s',
        faults=(EngineLosses(0, 2.5),),
    ),
    CrashPattern(
        'restart',
        'a crashing part; all VMs restart in the middle',
        faults=(RestartOfVms(16),),
    ),
    CrashPattern(
        'lost notices',
        'a crashing part; no notices from and to a third of the VMs',
        faults=(NoticesLost(0, 0.33),),
    ),
    CrashPattern(
        'long answers',
        'answers of ten seconds, so that little completes in between',
        (CrashingPart(beside='first-0'),),
        run_s=10,
        seconds=45,
    ),
    CrashPattern(
        'own engines',
        'each first part has engines of its own; the part is beside one',
        (CrashingPart(per_s=3, beside='first-0'),),
        affinity=1,
    ),
    CrashPattern(
        'long prompts',
        'prompts of up to three seconds, so that many wait on each engine',
        (CrashingPart(beside='first-0'),),
        prompt_s=(0.5, 3),
    ),
    CrashPattern(
        'six parts',
        'a release breaks six parts at once',
        tuple(
            CrashingPart(f'c0ffee0{number}', per_s=2, beside=f'first-{number}')
            for number in range(6)
        ),
    ),
    CrashPattern(
        'part and garbled',
        'a crashing part while connections to a third of the engines break',
        faults=(GarbledAnswers(TROUBLE_AT_S, 8, 0.33),),
    ),
    CrashPattern(
        'flood',
        'a batch job whose requests are most of all, with long prompts',
        (CrashingPart(per_s=150),),
        requests_per_engine=2,
        prompt_s=(1, 3),
    ),
    CrashPattern(
        'only caller',
        'a fleet that mostly serves the requests with the crashing part',
        (CrashingPart(per_s=20, beside='first-0'),),
        requests_per_engine=0.5,
        prompt_s=(1, 3),
    ),
    CrashPattern(
        'invented parts',
        'a crashing part; callers invent 10,000 parts',
        invented_parts=10_000,
    ),
)
# Engines are away for longer than the bounds of the others allow for.
MASS_ENDS = (
    CrashPattern(
        'all end early',
        'no crashing part; all engines end just after the start',
        (),
        (Kill(1, 1, 8),),
        seconds=40,
    ),
    CrashPattern(
        'all end twice',
        'no crashing part; all engines end, and again as they are back',
        (),
        (Kill(10, 1, 15), Kill(26, 1, 8)),
        seconds=70,
    ),
    CrashPattern(
        'all end slowly',
        'no crashing part; all engines end, and answers take 15 s',
        (),
        (Kill(14, 1, 8),),
        run_s=15,
        seconds=70,
    ),
)
PATTERNS_BY_NAME = MappingProxyType(
    {pattern.name: pattern for pattern in (*PATTERNS, *MASS_ENDS)}
)

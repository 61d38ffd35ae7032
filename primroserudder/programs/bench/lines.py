"""The lines of the capacity page: what is counted, and what carries it.

Explanation
===========
The target's counts are the users'. The reading where they leave it open: an
engine is one upstream VM's process with about eight accelerators, and a
replica spans four engines.
"""

from collections.abc import Sequence
from dataclasses import dataclass

NODES = 470
ENGINES = 3700
DOMAINS = 14
REQUESTS_PER_S = 27000
TOKENS_PER_S = 9_300_000
CHANGES_PER_DAY = 17000
SECONDS_PER_DAY = 86400
REPLICA_ENGINES = 4
TOKEN_INTERVAL_S = 0.041
FIRST_TOKEN_S = 0.9
WORKSPACES = 1000

ENTRIES_BY_DOMAIN = NODES / DOMAINS
ENGINES_BY_DOMAIN = ENGINES / DOMAINS
GROUPS = ENGINES / REPLICA_ENGINES
REQUESTS_BY_NODE = REQUESTS_PER_S / NODES
TOKENS_BY_NODE = TOKENS_PER_S / NODES
TOKENS_BY_REQUEST = TOKENS_PER_S / REQUESTS_PER_S
REQUEST_S = FIRST_TOKEN_S + TOKENS_BY_REQUEST * TOKEN_INTERVAL_S
OPEN_BY_NODE = REQUESTS_BY_NODE * REQUEST_S
CHANGES_PER_S = CHANGES_PER_DAY / SECONDS_PER_DAY

MIB = 1_048_576
PERCENT = 0.01
CONTROL_MIB = 32
CONTROL_CPU_PERCENT = 4
CORE_PERCENT = 100


@dataclass(frozen=True, slots=True)
class Term:
    """A slope, or nothing for a plain figure, times a count."""

    slope: str
    count: float
    of: str
    at_zero: bool = False


@dataclass(frozen=True, slots=True)
class Line:
    """One line of the page; the sum of its terms over a divisor."""

    role: str
    what: str
    unit: str
    terms: Sequence[Term]
    mechanism: str
    budget: float | None = None
    divisor: float = 1


LINES: Sequence[Line] = (
    Line(
        role='entry',
        what='control state: peers, engines, configuration',
        unit='MiB',
        terms=(
            Term('peer_bytes', NODES, 'nodes'),
            Term('engine_bytes', ENGINES, 'engines'),
            Term('workspace_bytes', WORKSPACES, 'workspaces'),
        ),
        mechanism='`process/membership`, `process/groups`, `version/holder`',
        budget=CONTROL_MIB,
        divisor=MIB,
    ),
    Line(
        role='entry',
        what='requests in flight',
        unit='MiB',
        terms=(Term('request_bytes', OPEN_BY_NODE, 'open requests'),),
        mechanism='`request/relay`, one task for each request',
        divisor=MIB,
    ),
    Line(
        role='entry',
        what='rendering of accepted changes',
        unit='% of a core',
        terms=(
            Term(
                'render_cpu',
                WORKSPACES * CHANGES_PER_S,
                'workspaces rendered a second',
            ),
        ),
        mechanism='`version/render`',
        budget=CONTROL_CPU_PERCENT,
        divisor=PERCENT,
    ),
)

"""Lines of the capacity page, with their terms, budgets and mechanisms.

Explanation
===========
The users specify the counts of the target. Where they leave a count open,
this module assumes that an engine is the process of one upstream VM with about
eight accelerators, and that a replica spans four engines.
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

ENTRIES_PER_DOMAIN = NODES / DOMAINS
ENGINES_PER_DOMAIN = ENGINES / DOMAINS
GROUPS = ENGINES / REPLICA_ENGINES
REQUESTS_PER_S_PER_NODE = REQUESTS_PER_S / NODES
TOKENS_PER_S_PER_NODE = TOKENS_PER_S / NODES
TOKENS_PER_REQUEST = TOKENS_PER_S / REQUESTS_PER_S
REQUEST_DURATION_S = FIRST_TOKEN_S + TOKENS_PER_REQUEST * TOKEN_INTERVAL_S
OPEN_REQUESTS_PER_NODE = REQUESTS_PER_S_PER_NODE * REQUEST_DURATION_S
CHANGES_PER_S = CHANGES_PER_DAY / SECONDS_PER_DAY

MIB = 1_048_576
PERCENT = 0.01
CONTROL_MIB = 32
CONTROL_CPU_PERCENT = 4
CONTROL_BYTES_PER_S = 4096
PLATFORM_READS_PER_S = 2000
# The users specify several hundred writes per second.
PLATFORM_WRITES_PER_S = 300
LEASE_RENEWAL_S = 3
BATCHES_PER_S = 10
WRITES_PER_CHANGE = 2


@dataclass(frozen=True, slots=True)
class Term:
    """A slope times a count, or the count alone if the slope is empty."""

    slope: str
    count: float
    of: str
    at_zero: bool = False


@dataclass(frozen=True, slots=True)
class Line:
    """One line of the page: the sum of its terms divided by a divisor."""

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
        terms=(Term('request_bytes', OPEN_REQUESTS_PER_NODE, 'open requests'),),
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
    Line(
        role='entry',
        what='evidence of life, told to peers',
        unit='bytes/s',
        terms=(
            Term('evidence_bytes', ENTRIES_PER_DOMAIN, 'entries of a domain'),
            Term('evidence_bytes', 1, '', at_zero=True),
        ),
        mechanism='`process/sharing`, digests over `proto/evidence.proto`',
        budget=CONTROL_BYTES_PER_S,
    ),
    Line(
        role='entry',
        what='evidence of life, processor',
        unit='% of a core',
        terms=(
            Term('evidence_cpu', ENTRIES_PER_DOMAIN, 'entries of a domain'),
            Term('evidence_cpu', 1, '', at_zero=True),
        ),
        mechanism='`process/probing`, `process/sharing`',
        budget=CONTROL_CPU_PERCENT,
    ),
    Line(
        role='entry',
        what='all control at rest, processor',
        unit='% of a core',
        terms=(
            Term('entry_cpu_by_entry', NODES, 'entries'),
            Term('entry_cpu_by_entry', 1, '', at_zero=True),
        ),
        mechanism='exchange with every known node (`process/membership`)',
        budget=CONTROL_CPU_PERCENT,
        divisor=PERCENT,
    ),
    Line(
        role='entry',
        what='routing decisions',
        unit='% of a core',
        terms=(
            Term(
                'decision_cpu',
                REQUESTS_PER_S_PER_NODE * ENGINES,
                'requests a second x engines',
            ),
            Term(
                'decision_cpu',
                REQUESTS_PER_S_PER_NODE,
                'requests a second',
                True,
            ),
        ),
        mechanism='`request/routing` over a bounded set of groups',
        divisor=PERCENT,
    ),
    Line(
        role='controller',
        what='control state, growth over an empty process',
        unit='MiB',
        terms=(
            Term(
                'controller_rss_by_engine',
                ENGINES_PER_DOMAIN,
                'engines of a domain',
            ),
        ),
        mechanism='`process/controller`, one failure domain each',
        budget=CONTROL_MIB,
        divisor=MIB,
    ),
    Line(
        role='controller',
        what='control at rest, processor',
        unit='% of a core',
        terms=(
            Term(
                'controller_cpu_by_engine',
                ENGINES_PER_DOMAIN,
                'engines of a domain',
            ),
            Term('controller_cpu_by_engine', 1, '', at_zero=True),
        ),
        mechanism='`process/controller`, evidence from its entries',
        budget=CONTROL_CPU_PERCENT,
        divisor=PERCENT,
    ),
    Line(
        role='platform',
        what='reads at rest',
        unit='reads/s',
        terms=(Term('platform_reads_by_entry', NODES, 'entries'),),
        mechanism='polls of groups, stops, nodes and the head row',
        budget=PLATFORM_READS_PER_S,
    ),
    Line(
        role='platform',
        what='writes at rest: registration, leases',
        unit='writes/s',
        terms=(
            Term('platform_writes_by_entry', NODES, 'entries'),
            Term('', DOMAINS / LEASE_RENEWAL_S, 'renewals of leases'),
        ),
        mechanism='`process/membership`, `process/lease`',
        budget=PLATFORM_WRITES_PER_S,
    ),
    Line(
        role='platform',
        what="records of callers' own idempotency keys",
        unit='writes/s',
        terms=(
            Term('', NODES * BATCHES_PER_S, 'batches, one entry each 100 ms'),
        ),
        mechanism='`request/keybatch`; minted keys need no write',
        budget=PLATFORM_WRITES_PER_S,
    ),
    Line(
        role='platform',
        what='accepted changes',
        unit='writes/s',
        terms=(
            Term('', WRITES_PER_CHANGE * CHANGES_PER_S, 'object and head row'),
        ),
        mechanism='`version/store`',
        budget=PLATFORM_WRITES_PER_S,
    ),
)

"""The program ``rudder-load``: a bounded, seeded load generator."""

import argparse
import pathlib
import random
import sys
from collections.abc import Sequence

import aiohttp
import orjson

from ..process.clock import SystemClock
from .common import EXIT_FAILED, EXIT_OK, parser, run
from .loadtool import LoadPlan, LoadReport, LoadTool

LOOPBACK_PREFIXES = ('http://127.', 'https://127.')
_FLAGS: Sequence[tuple[str, type, float]] = (
    ('--requests', int, 100),
    ('--rate', float, 50),
    ('--concurrency', int, 200),
    ('--prompt-words', int, 64),
    ('--max-tokens', int, 32),
    ('--seed', int, 1),
    ('--max-seconds', float, 600),
)


def _parser() -> argparse.ArgumentParser:
    load_parser = parser(
        'rudder-load', 'Sends a bounded load of requests and reports on it.'
    )
    for name, text in (
        ('--url', "URL of an entry's callers' port; repeat for more"),
        ('--key', 'API key of a workspace; repeat for more'),
    ):
        load_parser.add_argument(
            name, action='append', required=True, help=text
        )
    load_parser.add_argument('--model', required=True)
    for flag, kind, default in _FLAGS:
        load_parser.add_argument(flag, type=kind, default=default)
    load_parser.add_argument(
        '--whole',
        action='store_true',
        help='request whole answers instead of streams',
    )
    load_parser.add_argument('--json', action='store_true')
    load_parser.add_argument(
        '--plot',
        type=pathlib.Path,
        metavar='FILE.png',
        help='draw the latency percentiles',
    )
    return load_parser


async def _main(arguments: argparse.Namespace) -> int:
    plan = LoadPlan(
        urls=tuple(arguments.url),
        keys=tuple(arguments.key),
        model=arguments.model,
        requests=arguments.requests,
        rate=arguments.rate,
        concurrency=arguments.concurrency,
        prompt_words=arguments.prompt_words,
        max_tokens=arguments.max_tokens,
        is_streamed=not arguments.whole,
        seed=arguments.seed,
        max_seconds=arguments.max_seconds,
    )
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        tool = LoadTool(
            session,
            plan,
            SystemClock(),
            random.Random(plan.seed),
        )
        report = await tool.run()
    _show(report, as_json=arguments.json)
    if arguments.plot is not None:
        _plot(report, arguments.plot)
    is_clean = set(report.outcomes_by_code) == {'ok'}
    return EXIT_OK if is_clean else EXIT_FAILED


def _show(report: LoadReport, *, as_json: bool) -> None:
    figures = report.as_json()
    if as_json:
        text = orjson.dumps(figures, option=orjson.OPT_INDENT_2).decode()
        sys.stdout.write(f'{text}\n')
        return
    for name, figure in figures.items():
        sys.stdout.write(f'{name}: {figure}\n')


def _plot(report: LoadReport, path: pathlib.Path) -> None:
    # matplotlib is an optional dependency, so only ``--plot`` imports it.
    from matplotlib.figure import Figure

    figure = Figure(figsize=(8, 4))
    axes = figure.subplots()
    percentiles = (1, 5, 10, 25, 50, 75, 90, 95, 99, 99.9)
    for label, latency in (
        ('time to first token', report.time_to_first_token),
        ('time between tokens', report.time_between_tokens),
    ):
        axes.plot(
            percentiles,
            [latency.percentile_s(percent) for percent in percentiles],
            label=label,
        )
    axes.set_xlabel('percentile')
    axes.set_ylabel('seconds')
    axes.legend()
    figure.savefig(path)


def main() -> None:
    """Send a load to loopback addresses."""
    load_parser = _parser()
    arguments = load_parser.parse_args()
    for url in arguments.url:
        if not url.startswith(LOOPBACK_PREFIXES):
            load_parser.error(
                f'--url {url}: expected a loopback address, http://127.…'
            )
    sys.exit(run(_main(arguments)))

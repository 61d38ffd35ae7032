"""Collects the measurements of all benchmarks into one file of slopes."""

import argparse
import pathlib
from collections.abc import Sequence

from pydantic import TypeAdapter

from .rest import RestReport
from .slope import Point, Slope, fit, read_slopes, write_slopes

COMMAND = 'bin/bench'
_REST_REPORT = TypeAdapter(RestReport)
_EVIDENCE_REPORT = TypeAdapter(dict[str, float])

# Each tuple holds the slope's name, the report's field and its unit.
FIELDS_BY_ENTRIES = (
    ('entry_cpu_by_entry', 'entry_cpu_share', 'cores'),
    ('entry_rss_by_entry', 'entry_rss_bytes', 'bytes'),
    ('controller_cpu_by_entry', 'controller_cpu_share', 'cores'),
    ('platform_reads_by_entry', 'platform_reads_per_s', 'reads a second'),
    ('platform_writes_by_entry', 'platform_writes_per_s', 'writes a second'),
)
EVIDENCE_FIELDS = (
    ('evidence_bytes', 'peer_bytes_sent_each_s', 'bytes a second'),
    ('evidence_cpu', 'cpu_percent_with_grpc', '% of a core'),
)
FIELDS_BY_ENGINES = (
    ('entry_cpu_by_engine', 'entry_cpu_share', 'cores'),
    ('entry_rss_by_engine', 'entry_rss_bytes', 'bytes'),
    ('controller_cpu_by_engine', 'controller_cpu_share', 'cores'),
    ('controller_rss_by_engine', 'controller_rss_bytes', 'bytes'),
    ('platform_reads_by_engine', 'platform_reads_per_s', 'reads a second'),
)


def main() -> None:
    """Write the slopes of all benchmarks to one file."""
    parser = argparse.ArgumentParser(
        description='Collects slopes into one file.'
    )
    parser.add_argument('--slopes', type=pathlib.Path, nargs='+', required=True)
    parser.add_argument('--by-entries', type=pathlib.Path, nargs='+')
    parser.add_argument('--by-engines', type=pathlib.Path, nargs='+')
    parser.add_argument('--evidence', type=pathlib.Path, nargs='+')
    parser.add_argument('--out', type=pathlib.Path, required=True)
    arguments = parser.parse_args()
    slopes = [
        slope
        for path in arguments.slopes
        for slope in read_slopes(path).values()
    ]
    slopes += _evidence_slopes(arguments.evidence)
    slopes += _rest_slopes(arguments.by_entries, FIELDS_BY_ENTRIES, 'entries')
    slopes += _rest_slopes(arguments.by_engines, FIELDS_BY_ENGINES, 'engines')
    write_slopes(arguments.out, slopes)


def _evidence_slopes(paths: Sequence[pathlib.Path]) -> Sequence[Slope]:
    reports = [
        _EVIDENCE_REPORT.validate_json(path.read_bytes()) for path in paths
    ]
    return [
        fit(
            name,
            unit,
            'entry of the failure domain',
            COMMAND,
            [Point(report['entries'], report[field]) for report in reports],
        )
        for name, field, unit in EVIDENCE_FIELDS
    ]


def _rest_slopes(
    paths: Sequence[pathlib.Path],
    fields: Sequence[tuple[str, str, str]],
    size: str,
) -> Sequence[Slope]:
    reports = [_REST_REPORT.validate_json(path.read_bytes()) for path in paths]
    return [
        fit(
            name,
            unit,
            size,
            COMMAND,
            [
                Point(getattr(report, size), getattr(report, field))
                for report in reports
            ],
        )
        for name, field, unit in fields
    ]


if __name__ == '__main__':
    main()

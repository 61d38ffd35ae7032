"""The outcome of a command of ``rudderctl``."""

import argparse
import sys
from collections.abc import Sequence
from dataclasses import dataclass
from typing import TypeAlias

import orjson

from .common import EXIT_OK

Commands: TypeAlias = 'argparse._SubParsersAction[argparse.ArgumentParser]'


@dataclass(frozen=True, slots=True)
class Outcome:
    """The outcome of a command, as a JSON body and as lines of text."""

    body: object
    lines: Sequence[str]
    exit_code: int = EXIT_OK


def show(outcome: Outcome, *, as_json: bool) -> None:
    """Write an outcome to standard output."""
    if as_json:
        text = orjson.dumps(outcome.body, option=orjson.OPT_INDENT_2).decode()
        sys.stdout.write(f'{text}\n')
        return
    for line in outcome.lines:
        sys.stdout.write(f'{line}\n')


def table(rows: Sequence[Sequence[object]]) -> Sequence[str]:
    """Return the rows as lines with aligned columns.

    Examples
    ========
    >>> table([('node', 'version'), ('entry-1', 7)])
    ['node     version', 'entry-1  7']
    """
    texts = [[str(cell) for cell in row] for row in rows]
    widths = [max(map(len, column)) for column in zip(*texts, strict=True)]
    return [
        '  '.join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in texts
    ]

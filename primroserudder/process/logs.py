"""Structured logs through loguru."""

import sys

from loguru import logger

LINE_FORMAT = '{time:YYYY-MM-DDTHH:mm:ss.SSSZ} {level} {extra} {message}'


def configure_logs(level: str, *, as_json: bool) -> None:
    """Send log lines of a level and higher to standard error."""
    logger.remove()
    logger.add(
        sys.stderr,
        level=level,
        serialize=as_json,
        format=LINE_FORMAT,
        backtrace=False,
        diagnose=False,
    )

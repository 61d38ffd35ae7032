"""Linear fits of a cost against a size, such as bytes per engine."""

import pathlib
from collections.abc import Mapping, Sequence
from dataclasses import asdict, dataclass

import orjson
from pydantic import TypeAdapter


@dataclass(frozen=True, slots=True)
class Point:
    """One measurement: a size and the value measured at it."""

    size: float
    seen: float


@dataclass(frozen=True, slots=True)
class Slope:
    """A line fitted through measurements by least squares.

    Parameters
    ==========
    name : str
        Name of the measured cost.
    unit : str
        Unit of the measured values.
    each : str
        Unit of the sizes.
    command : str
        Command that runs the measurement.
    points : sequence of Point
        Measurements at three or more sizes.
    per_unit, at_zero : float
        Slope and intercept of the fitted line.
    """

    name: str
    unit: str
    each: str
    command: str
    points: Sequence[Point]
    per_unit: float
    at_zero: float


def fit(
    name: str,
    unit: str,
    each: str,
    command: str,
    points: Sequence[Point],
) -> Slope:
    """Return the least-squares line through the points.

    Examples
    ========
    >>> line = fit('rows', 'bytes', 'row', 'cmd', [Point(1, 5), Point(3, 9)])
    >>> line.per_unit, line.at_zero
    (2.0, 3.0)
    """
    count = len(points)
    mean_size = sum(point.size for point in points) / count
    mean_seen = sum(point.seen for point in points) / count
    spread = sum((point.size - mean_size) ** 2 for point in points)
    covariation = sum(
        (point.size - mean_size) * (point.seen - mean_seen) for point in points
    )
    per_unit = covariation / spread
    return Slope(
        name=name,
        unit=unit,
        each=each,
        command=command,
        points=tuple(points),
        per_unit=per_unit,
        at_zero=mean_seen - per_unit * mean_size,
    )


_SLOPES = TypeAdapter(list[Slope])


def write_slopes(path: pathlib.Path, slopes: Sequence[Slope]) -> None:
    """Write slopes to a file as JSON."""
    body = [asdict(slope) for slope in slopes]
    path.write_bytes(orjson.dumps(body, option=orjson.OPT_INDENT_2))


def read_slopes(path: pathlib.Path) -> Mapping[str, Slope]:
    """Return the slopes in a file, keyed by name."""
    slopes = _SLOPES.validate_json(path.read_bytes())
    return {slope.name: slope for slope in slopes}

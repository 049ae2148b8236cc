"""Least-squares fits of measured costs against sizes."""

import dataclasses
import gc
import time
from collections.abc import Callable

REPEATS = 5
TIMING_ATTEMPTS = 3
MIN_TIMED_S = 0.02
US_PER_S = 1_000_000


@dataclasses.dataclass(frozen=True, slots=True)
class Point:
    """One measurement of a cost at a size."""

    size: float
    cost: float


@dataclasses.dataclass(frozen=True, slots=True)
class Fit:
    """``cost = base + slope * size``; bounds are those of single rounds.

    ``r_squared`` is the share of the variance that the line explains.
    """

    base: float
    slope: float
    slope_low: float
    slope_high: float
    r_squared: float


@dataclasses.dataclass(frozen=True, slots=True)
class Measured:
    """A cost measured in rounds, each round at every size."""

    name: str
    unit: str
    rounds: tuple[tuple[Point, ...], ...]

    @property
    def fit(self) -> Fit:
        """The fit over all points, with the spread of the rounds' slopes."""
        base, slope = fit_line([point for points in self.rounds for point in points])
        slopes = [fit_line(points)[1] for points in self.rounds]
        all_points = [point for points in self.rounds for point in points]
        explained = r_squared(all_points, base, slope)
        return Fit(base, slope, min(slopes), max(slopes), explained)

    def format_row(self) -> str:
        """Returns: one row: sizes with costs, then the fit."""
        sizes = [point.size for point in self.rounds[0]]
        costs = []
        for index, size in enumerate(sizes):
            middle = sorted(points[index].cost for points in self.rounds)
            costs.append(f"{size:g}: {middle[len(middle) // 2]:.4g}")
        fit = self.fit
        return (
            f"| {self.name} | {', '.join(costs)} | {fit.base:.4g} | {fit.slope:.4g} "
            f"| {fit.slope_low:.4g} to {fit.slope_high:.4g} | {fit.r_squared:.3f} "
            f"| {self.unit} |"
        )


HEADER = (
    "| cost | median at each size | base | slope | of single rounds | R2 | unit |\n"
    "|---|---|---|---|---|---|---|"
)


def fit_line(points: "list[Point] | tuple[Point, ...]") -> tuple[float, float]:
    """Fit a line.

    Args:
        points: at two sizes or more.

    Returns:
        The line's base and slope, by least squares.
    """
    count = len(points)
    mean_size = sum(point.size for point in points) / count
    mean_cost = sum(point.cost for point in points) / count
    spread = sum((point.size - mean_size) ** 2 for point in points)
    covariance = sum((p.size - mean_size) * (p.cost - mean_cost) for p in points)
    slope = covariance / spread
    return mean_cost - slope * mean_size, slope


def r_squared(points: list[Point], base: float, slope: float) -> float:
    """Args: points and a line. Returns: the share of variance explained."""
    mean = sum(point.cost for point in points) / len(points)
    total = sum((point.cost - mean) ** 2 for point in points)
    residual = sum((point.cost - base - slope * point.size) ** 2 for point in points)
    return 1.0 if total == 0 else 1.0 - residual / total


def measure(
    name: str,
    unit: str,
    sizes: tuple[int, ...],
    cost: Callable[[int], float],
    repeats: int = REPEATS,
) -> Measured:
    """Measure a cost at each size, in rounds.

    Args:
        name: of the cost.
        unit: of the cost a size.
        sizes: three or more.
        cost: measures once at a size.
        repeats: rounds; 1 for a cost that does not vary.

    Returns:
        What was measured.
    """
    rounds = []
    for _ in range(repeats):
        rounds.append(tuple(Point(size, cost(size)) for size in sizes))
    return Measured(name, unit, tuple(rounds))


def call_us(work: Callable[[], object]) -> float:
    """Time a call.

    Args:
        work: called many times.

    Returns:
        Processor us a call, the best of some tries, since other processes
        on the machine only ever add.
    """
    count = 1
    while _timed_s(work, count) < MIN_TIMED_S:
        count *= 4
    best_s = min(_timed_s(work, count) for _ in range(TIMING_ATTEMPTS))
    return best_s / count * US_PER_S


def _timed_s(work: Callable[[], object], count: int) -> float:
    gc.collect()
    start_s = time.process_time()
    for _ in range(count):
        work()
    return time.process_time() - start_s

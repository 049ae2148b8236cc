"""Fits lines to costs measured at several sizes, by least squares."""

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
    """The line ``cost = base + slope * size`` fitted to measurements.

    ``slope_low`` and ``slope_high`` are the least and greatest slope of a
    single round. ``r_squared`` is the share of the variance that the line
    explains.
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
        """The fit over all points, with the range of the rounds' slopes."""
        base, slope = fit_line([point for points in self.rounds for point in points])
        slopes = [fit_line(points)[1] for points in self.rounds]
        all_points = [point for points in self.rounds for point in points]
        explained = r_squared(all_points, base, slope)
        return Fit(base, slope, min(slopes), max(slopes), explained)

    def format_row(self) -> str:
        """Return a table row: the sizes with their costs, then the fit."""
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
    """Fit a line by least squares.

    Args:
        points: Measurements at two or more sizes.

    Returns:
        The line's base and slope.
    """
    count = len(points)
    mean_size = sum(point.size for point in points) / count
    mean_cost = sum(point.cost for point in points) / count
    spread = sum((point.size - mean_size) ** 2 for point in points)
    covariance = sum((p.size - mean_size) * (p.cost - mean_cost) for p in points)
    slope = covariance / spread
    return mean_cost - slope * mean_size, slope


def r_squared(points: list[Point], base: float, slope: float) -> float:
    """Return the share of the variance of points that a line explains."""
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
        name: The name of the cost.
        unit: The unit of the cost.
        sizes: Three or more sizes.
        cost: Measures the cost once at a size.
        repeats: The number of rounds; 1 for a cost that does not vary.

    Returns:
        The costs of all rounds.
    """
    rounds = []
    for _ in range(repeats):
        rounds.append(tuple(Point(size, cost(size)) for size in sizes))
    return Measured(name, unit, tuple(rounds))


def call_us(work: Callable[[], object]) -> float:
    """Measure the processor time of a call.

    Args:
        work: The function to time; it is called many times.

    Returns:
        The processor us per call, as the minimum of several attempts, since
        other processes on the machine can only increase it.
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

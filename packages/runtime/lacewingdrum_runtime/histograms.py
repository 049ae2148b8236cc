"""Histograms with fixed buckets in Prometheus' text format."""

import bisect

BUCKETS_S = (0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0)


class Histogram:
    """Counts durations by their size."""

    def __init__(self) -> None:
        self._counts = [0] * (len(BUCKETS_S) + 1)
        self._sum_s = 0.0

    def add(self, elapsed_s: float) -> None:
        """Count one duration."""
        self._counts[bisect.bisect_left(BUCKETS_S, elapsed_s)] += 1
        self._sum_s += elapsed_s

    def lines(self, full_name: str) -> list[str]:
        """Return the lines of the text format.

        Args:
            full_name: the name of the metric, with its prefix.
        """
        lines = [f"# TYPE {full_name} histogram"]
        count = 0
        for limit_s, count_of_bucket in zip(BUCKETS_S, self._counts, strict=False):
            count += count_of_bucket
            lines.append(f'{full_name}_bucket{{le="{limit_s:g}"}} {count}')
        count += self._counts[-1]
        lines.append(f'{full_name}_bucket{{le="+Inf"}} {count}')
        lines.append(f"{full_name}_sum {self._sum_s:g}")
        lines.append(f"{full_name}_count {count}")
        return lines

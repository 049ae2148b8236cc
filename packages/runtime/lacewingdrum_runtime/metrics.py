"""Counters, gauges and timings of a daemon in Prometheus' text format.

Times are recorded in HDR histograms, one for each timing, service and length
class, so that the relative error of a quantile does not depend on its size.
"""

import collections
import enum
from collections.abc import Callable

from hdrh import histogram

from lacewingdrum_runtime import histograms
from lacewingdrum_state import ids, states

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
NAME_PREFIX = "lacewingdrum"
LOWEST_US = 1
HIGHEST_US = 3_600_000_000
SIGNIFICANT_DIGITS = 2
US_PER_S = 1_000_000
QUANTILES = (0.5, 0.95, 0.99)


class Timing(enum.Enum):
    """A duration of requests; the value is the name of its metric.

    ``BETWEEN_TOKENS`` is not recorded.
    """

    FIRST_TOKEN = "time_to_first_token_seconds"
    COMPLETE = "request_seconds"
    BETWEEN_TOKENS = "between_tokens_seconds"


class Metrics:
    """The metrics of this daemon since its start."""

    def __init__(self) -> None:
        self._counts: collections.Counter[tuple[str, tuple[tuple[str, str], ...]]]
        self._counts = collections.Counter()
        self._times: dict[
            tuple[Timing, ids.ServiceName, states.LengthClass],
            histogram.HdrHistogram,
        ] = {}
        self._sums_us: collections.Counter = collections.Counter()
        self._gauges: dict[str, Callable[[], float]] = {}
        self._histograms: dict[str, histograms.Histogram] = {}

    def count(self, name: str, amount: float = 1, **labels: str) -> None:
        """Increase a counter.

        Args:
            name: the name without prefix and without ``_total``.
            amount: the increase.
            labels: labels with few values each; never a request id or text
                from a customer.
        """
        self._counts[name, tuple(sorted(labels.items()))] += amount  # type: ignore[assignment]

    def gauge(self, name: str, read: Callable[[], float]) -> None:
        """Register a value that is read whenever the metrics are requested.

        Args:
            name: the name without prefix, with its unit.
            read: returns the current value.
        """
        self._gauges[name] = read

    def histogram(self, name: str) -> histograms.Histogram:
        """Return a new histogram of durations.

        Args:
            name: the name without prefix, with its unit.
        """
        self._histograms[name] = histograms.Histogram()
        return self._histograms[name]

    def time(
        self,
        timing: Timing,
        service: ids.ServiceName,
        length: states.LengthClass,
        elapsed_s: float,
    ) -> None:
        """Record one measured duration.

        Args:
            timing: what was measured.
            service: the service of the request.
            length: the length class of the request's prompt.
            elapsed_s: the duration in seconds.
        """
        key = (timing, service, length)
        times = self._times.get(key)
        if times is None:
            times = histogram.HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)
            self._times[key] = times
        elapsed_us = int(elapsed_s * US_PER_S)
        times.record_value(min(max(elapsed_us, LOWEST_US), HIGHEST_US))
        self._sums_us[key] += elapsed_us

    def quantile_s(
        self,
        timing: Timing,
        service: ids.ServiceName,
        length: states.LengthClass,
        quantile: float,
    ) -> float | None:
        """Return a quantile (0 to 1) in seconds; None without any values."""
        times = self._times.get((timing, service, length))
        if times is None:
            return None
        return times.get_value_at_percentile(quantile * 100) / US_PER_S

    def text(self) -> str:
        """Return all metrics in Prometheus' text format."""
        lines = [*self._counter_lines(), *self._gauge_lines(), *self._time_lines()]
        for name, counted in sorted(self._histograms.items()):
            lines.extend(counted.lines(f"{NAME_PREFIX}_{name}"))
        return "\n".join(lines) + "\n"

    def _counter_lines(self) -> list[str]:
        lines: list[str] = []
        typed_name = ""
        for (name, labels), value in sorted(self._counts.items()):
            full_name = f"{NAME_PREFIX}_{name}_total"
            if full_name != typed_name:
                lines.append(f"# TYPE {full_name} counter")
                typed_name = full_name
            lines.append(f"{full_name}{_format_labels(labels)} {value:g}")
        return lines

    def _gauge_lines(self) -> list[str]:
        lines = []
        for name, read in sorted(self._gauges.items()):
            lines.append(f"# TYPE {NAME_PREFIX}_{name} gauge")
            lines.append(f"{NAME_PREFIX}_{name} {read():g}")
        return lines

    def _time_lines(self) -> list[str]:
        lines = []
        for timing in Timing:
            keys = [key for key in self._times if key[0] is timing]
            full_name = f"{NAME_PREFIX}_{timing.value}"
            if keys:
                lines.append(f"# TYPE {full_name} summary")
            for key in sorted(keys, key=lambda key: (key[1], key[2].value)):
                lines.extend(self._summary_lines(full_name, key))
        return lines

    def _summary_lines(
        self, full_name: str, key: tuple[Timing, ids.ServiceName, states.LengthClass]
    ) -> list[str]:
        times = self._times[key]
        labels = (("length", key[2].value), ("service", str(key[1])))
        lines = []
        for quantile in QUANTILES:
            value_s = times.get_value_at_percentile(quantile * 100) / US_PER_S
            quantile_labels = _format_labels((*labels, ("quantile", f"{quantile:g}")))
            lines.append(f"{full_name}{quantile_labels} {value_s:g}")
        total_s = self._sums_us[key] / US_PER_S
        lines.append(f"{full_name}_sum{_format_labels(labels)} {total_s:g}")
        lines.append(
            f"{full_name}_count{_format_labels(labels)} {times.get_total_count()}"
        )
        return lines


def _format_labels(labels: tuple[tuple[str, str], ...]) -> str:
    if not labels:
        return ""
    pairs = (f'{name}="{_escape_label(value)}"' for name, value in labels)
    return "{" + ",".join(pairs) + "}"


def _escape_label(value: str) -> str:
    return value.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")

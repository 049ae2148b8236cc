"""Tests of metrics."""

from lacewingdrum_daemon import metrics
from lacewingdrum_state import ids, states

SERVICE = ids.ServiceName("reader")
FIRST = metrics.Timing.FIRST_TOKEN
SHORT = states.LengthClass.SHORT


def test_quantiles_are_within_the_digits_kept():
    figures = metrics.Metrics()
    for number in range(1, 101):
        figures.time(FIRST, SERVICE, SHORT, number / 100)
    median_s = figures.quantile_s(FIRST, SERVICE, SHORT, 0.5)
    assert abs(median_s - 0.5) < 0.01
    assert figures.quantile_s(FIRST, SERVICE, states.LengthClass.LONG, 0.5) is None


def test_times_beyond_the_range_are_kept_at_its_ends():
    figures = metrics.Metrics()
    figures.time(FIRST, SERVICE, SHORT, -1.0)
    figures.time(FIRST, SERVICE, SHORT, 1e9)
    assert "_count{" in figures.text()


def test_text_has_each_type_once_and_escapes_labels():
    figures = metrics.Metrics()
    figures.count("requests", outcome='a"b')
    figures.count("requests", 2, outcome="c")
    figures.gauge("lag_seconds", lambda: 0.25)
    assert figures.text().splitlines() == [
        "# TYPE lacewingdrum_requests_total counter",
        'lacewingdrum_requests_total{outcome="a\\"b"} 1',
        'lacewingdrum_requests_total{outcome="c"} 2',
        "# TYPE lacewingdrum_lag_seconds gauge",
        "lacewingdrum_lag_seconds 0.25",
    ]

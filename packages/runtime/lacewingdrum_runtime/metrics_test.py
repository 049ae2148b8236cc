"""Tests of the metrics and their text format."""

from lacewingdrum_runtime import metrics
from lacewingdrum_state import ids, states

SERVICE = ids.ServiceName("reader")
FIRST = metrics.Timing.FIRST_TOKEN
SHORT = states.LengthClass.SHORT


def test_quantiles_have_the_stored_precision():
    daemon_metrics = metrics.Metrics()
    for number in range(1, 101):
        daemon_metrics.time(FIRST, SERVICE, SHORT, number / 100)
    median_s = daemon_metrics.quantile_s(FIRST, SERVICE, SHORT, 0.5)
    assert abs(median_s - 0.5) < 0.01
    assert (
        daemon_metrics.quantile_s(FIRST, SERVICE, states.LengthClass.LONG, 0.5) is None
    )


def test_times_out_of_range_are_clamped():
    daemon_metrics = metrics.Metrics()
    daemon_metrics.time(FIRST, SERVICE, SHORT, -1.0)
    daemon_metrics.time(FIRST, SERVICE, SHORT, 1e9)
    assert "_count{" in daemon_metrics.text()


def test_text_has_each_type_once_and_escapes_labels():
    daemon_metrics = metrics.Metrics()
    daemon_metrics.count("requests", outcome='a"b')
    daemon_metrics.count("requests", 2, outcome="c")
    daemon_metrics.gauge("lag_seconds", lambda: 0.25)
    assert daemon_metrics.text().splitlines() == [
        "# TYPE lacewingdrum_requests_total counter",
        'lacewingdrum_requests_total{outcome="a\\"b"} 1',
        'lacewingdrum_requests_total{outcome="c"} 2',
        "# TYPE lacewingdrum_lag_seconds gauge",
        "lacewingdrum_lag_seconds 0.25",
    ]

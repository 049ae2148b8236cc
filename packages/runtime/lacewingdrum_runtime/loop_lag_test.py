import asyncio
import logging
import time

from lacewingdrum_runtime import decision_log, loop_lag, metrics


class Lines(logging.Handler):
    def __init__(self):
        super().__init__()
        self.records = []

    def emit(self, record):
        self.records.append(record)


async def held_loop(held_s: float) -> tuple[list[str], list[logging.LogRecord]]:
    """Return metrics and log lines of a loop that was held for this long."""
    lines = Lines()
    logger = logging.Logger("test")
    logger.addHandler(lines)
    counts = metrics.Metrics()
    decisions = decision_log.DecisionLog(logger, time.monotonic)
    lag = loop_lag.LoopLag(time.monotonic, decisions, counts)
    lag.start()
    await asyncio.sleep(0.01)
    time.sleep(held_s)
    await asyncio.sleep(2 * loop_lag.SAMPLE_INTERVAL_S)
    await lag.close()
    return counts.text().splitlines(), lines.records


async def test_held_loop_is_logged_once_and_counted():
    text, records = await held_loop(0.4)
    (record,) = records
    assert record.event == "loop_late"
    assert 300.0 < record.late_ms < 1_000.0
    assert "# TYPE lacewingdrum_loop_late_seconds histogram" in text
    late_counts = [int(line.split()[1]) for line in text if "_bucket{" in line]
    assert late_counts == sorted(late_counts) and late_counts[-1] >= 2
    assert f"lacewingdrum_loop_late_seconds_count {late_counts[-1]}" in text


async def test_short_lags_are_counted_and_not_logged():
    text, records = await held_loop(0.1)
    assert not records
    count = int(text[-1].split()[1])
    assert count >= 2 and f'_bucket{{le="+Inf"}} {count}' in "".join(text)

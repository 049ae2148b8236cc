"""Measures the memory of runners, customers, documents and open streams."""

import asyncio
import gc
import logging
import random
import threading
import tracemalloc
from collections.abc import Callable

from lacewingdrum_coordination import directory, limits, membership, routing
from lacewingdrum_protocol import document_text
from lacewingdrum_runtime import decision_log
from lacewingdrum_state import documents, fleet, ids
from standins import slope_fit, slope_fleet, slope_streams

RUNNER_SIZES = (100, 300, 1_100)
CUSTOMER_SIZES = (50, 500, 2_000)
DOCUMENT_SIZES = (4, 16, 64)
STREAM_SIZES = (50, 150, 300)
LINE_SIZES = (500, 2_000, 8_000)
CANDIDATES = 20
DOCUMENT_CUSTOMERS = 10
NOW_S = 100.0

Measured = slope_fit.Measured


def memory_costs() -> list[Measured]:
    """Return the bytes that a daemon holds, against the number of items."""
    measurements = []
    for name, sizes, make in (
        ("memory of runners (view, estimates, loads)", RUNNER_SIZES, _runners),
        ("memory of customers of one document", CUSTOMER_SIZES, _customers),
        ("memory of customers' budgets and buckets", CUSTOMER_SIZES, _budgets),
        ("memory of documents of 10 customers", DOCUMENT_SIZES, _documents),
        ("memory of decision lines kept, 20 candidates", LINE_SIZES, _lines),
    ):
        measurements.append(
            slope_fit.measure(name, "bytes", sizes, _bytes_of(make), repeats=2)
        )
    name = "memory of open streams, both connections"
    measurements.append(
        slope_fit.measure(name, "bytes", STREAM_SIZES, _streams, repeats=2)
    )
    return measurements


def parsing() -> list[Measured]:
    """Return the processor time of parsing a document."""
    return [
        slope_fit.measure(
            "parsing a document, against customers", "us", CUSTOMER_SIZES, _parse_us
        )
    ]


def _bytes_of(make: Callable[[int], object]) -> Callable[[int], float]:
    def cost(size: int) -> float:
        gc.collect()
        tracemalloc.start()
        before, _ = tracemalloc.get_traced_memory()
        kept = make(size)
        gc.collect()
        after, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        assert kept is not None
        return float(after - before)

    return cost


def _runners(size: int) -> object:
    runners = slope_fleet.runners(size)
    view = membership.merge(membership.View(), fleet.Members((), runners), NOW_S)
    router = routing.Router(slope_fleet.data_centre(0), random.Random(1))
    router.set_runners(view.runners)
    for runner in view.runners:
        router.observe_load(slope_fleet.load(runner, NOW_S))
    return view, router


def _parsed(text: str) -> documents.ServiceDocument:
    document, errors = document_text.parse(text)
    assert document is not None, errors
    return document


def _customers(size: int) -> object:
    text = slope_fleet.document(size)
    document = _parsed(text)
    return text, document, directory.build([document])


def _documents(size: int) -> object:
    texts = [
        slope_fleet.document(DOCUMENT_CUSTOMERS, f"model-{index:02d}")
        for index in range(size)
    ]
    parsed = [_parsed(text) for text in texts]
    return texts, parsed, directory.build(parsed)


def _budgets(size: int) -> object:
    budget, coordinator_budget = limits.DaemonBudget(), limits.CoordinatorBudget()
    service = ids.ServiceName("model-00")
    for index in range(size):
        customer = ids.CustomerId(f"customer-{index:05d}")
        budget.set_limit(service, customer, 20_000)
        budget.spend(service, customer, 1_000, NOW_S)
        coordinator_budget.request(
            limits.SliceRequest(service, customer, 1_000, 0), 20_000, NOW_S
        )
    return budget, coordinator_budget


def _lines(size: int) -> object:
    log = decision_log.DecisionLog(logging.Logger("quiet", logging.ERROR), lambda: 0.0)
    for index in range(size):
        estimates = [(f"runner-{n:05d}", 0.12345, 5.12345) for n in range(CANDIDATES)]
        log.record(
            decision_log.DecisionEvent.ROUTED,
            ids.RequestId(f"req-{index:020x}"),
            estimates=estimates,
        )
    return log


def _parse_us(size: int) -> float:
    text = slope_fleet.document(size)
    return slope_fit.call_us(lambda: document_text.parse(text))


def _streams(size: int) -> float:
    """Return the bytes held while ``size`` quiet streams are open."""
    far_side = slope_streams.FarSide()
    far_side.start()
    try:
        return asyncio.run(_open_streams(far_side, size))
    finally:
        far_side.close()


async def _open_streams(far_side: "slope_streams.FarSide", size: int) -> float:
    edge = slope_streams.Edge(far_side.runner_port)
    port = await edge.start()
    # The first streams create caches that do not belong to a stream.
    await _open(far_side, edge, port, 10)
    gc.collect()
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    await _open(far_side, edge, port, size)
    gc.collect()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    await edge.close()
    return float(after - before)


async def _open(
    far_side: "slope_streams.FarSide", edge: "slope_streams.Edge", port: int, count: int
) -> None:
    wanted = edge.part_count + count
    opener = threading.Thread(target=far_side.open_quiet, args=(port, count))
    opener.start()
    while edge.part_count < wanted:
        await asyncio.sleep(0.01)
    opener.join()

"""Divides capacity among customers by weighted max-min fairness."""

from collections.abc import Hashable, Mapping
from typing import TypeVar

Key = TypeVar("Key", bound=Hashable)


def fair_grants(
    offered: Mapping[Key, float],
    weights: Mapping[Key, float],
    affordable: float,
) -> dict[Key, float]:
    """Divide capacity among customers by weighted max-min fairness.

    A customer that offers less than its share leaves the rest to others.

    Args:
        offered: the work that each customer offers.
        weights: the customers' weights.
        affordable: the work to divide, in the same unit.

    Returns:
        The work granted to each customer.
    """
    granted: dict[Key, float] = {}
    waiting = dict(offered)
    remaining = affordable
    while waiting:
        weight = sum(weights[customer] for customer in waiting)
        work_per_weight = remaining / weight
        satisfied = [
            customer
            for customer, work in waiting.items()
            if work <= work_per_weight * weights[customer]
        ]
        if not satisfied:
            for customer in waiting:
                granted[customer] = work_per_weight * weights[customer]
            return granted
        for customer in satisfied:
            granted[customer] = waiting.pop(customer)
            remaining -= granted[customer]
    return granted

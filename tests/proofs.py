"""Finds and runs the proofs of ``make guarantees``, each of one promise.

A module ``tests/guarantee_*.py`` lists its proofs in ``PROOFS``. A module
without that list runs only by its own command.
"""

import dataclasses
import importlib
import pathlib
import time
from collections.abc import Callable


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """The number of trials of a proof, and a line for each violation."""

    trials: int
    violations: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Proof:
    """One promise, and the function that checks it with a seed."""

    promise: str
    seed: int
    run: Callable[[int], Outcome]


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """The result of one proof."""

    proof: Proof
    outcome: Outcome
    seconds: float


def find(folder: pathlib.Path = pathlib.Path(__file__).parent) -> tuple[Proof, ...]:
    """Return the proofs of all modules in ``folder``."""
    proofs: list[Proof] = []
    for path in sorted(folder.glob("guarantee_*.py")):
        if not path.name.endswith("_test.py"):
            module = importlib.import_module(f"tests.{path.stem}")
            proofs.extend(getattr(module, "PROOFS", ()))
    return tuple(proofs)


def run(proof: Proof) -> Row:
    """Run a proof; an exception in it counts as a violation.

    Args:
        proof: the proof.

    Returns:
        Its outcome and duration.
    """
    began_s = time.monotonic()
    try:
        outcome = proof.run(proof.seed)
    except Exception as error:
        outcome = Outcome(0, (f"ended by {type(error).__name__}: {error}"[:500],))
    return Row(proof, outcome, time.monotonic() - began_s)

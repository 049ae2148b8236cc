"""What ``make guarantees`` runs: proofs, each of one promise.

A module ``tests/guarantee_*.py`` names its proofs in ``PROOFS``; one without
is run by its own command alone.
"""

import dataclasses
import importlib
import pathlib
import time
from collections.abc import Callable


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """What a proof found; each violation in a few words."""

    trials: int
    violations: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Proof:
    """One promise, and how it is put to the test with a seed."""

    promise: str
    seed: int
    run: Callable[[int], Outcome]


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """A proof that was run."""

    proof: Proof
    outcome: Outcome
    seconds: float


def find(folder: pathlib.Path = pathlib.Path(__file__).parent) -> tuple[Proof, ...]:
    """Args: folder: holds the modules. Returns: the proofs of all."""
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
        What it found and how long it took.
    """
    began_s = time.monotonic()
    try:
        outcome = proof.run(proof.seed)
    except Exception as error:
        outcome = Outcome(0, (f"ended by {type(error).__name__}: {error}"[:500],))
    return Row(proof, outcome, time.monotonic() - began_s)

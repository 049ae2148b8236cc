"""Runs all proofs of the promises: ``python -m tests.guarantees``.

Prints a row for each proof when it ends, followed by its first violations.
The exit code is 1 if there was any violation.
"""

import argparse
import logging
import sys

from tests import proofs

SHOWN_VIOLATIONS = 5
ROW = "{:<58} {:>7} {:>10} {:>6} {:>8}"


def report(row: proofs.Row) -> str:
    """Format the result of one proof as lines of text."""
    outcome = row.outcome
    lines = [
        ROW.format(
            row.proof.promise,
            outcome.trials,
            len(outcome.violations),
            row.proof.seed,
            f"{row.seconds:.1f}",
        )
    ]
    for violation in outcome.violations[:SHOWN_VIOLATIONS]:
        lines.append(f"    {violation}")
    return "\n".join(lines)


def main() -> int:
    """Return 0 if no proof found a violation."""
    parser = argparse.ArgumentParser(prog="python -m tests.guarantees")
    parser.add_argument("--only", default="", help="part of a promise's name")
    arguments = parser.parse_args()
    logging.disable(logging.CRITICAL)
    print(ROW.format("promise", "trials", "violations", "seed", "seconds"))
    violated = False
    for proof in proofs.find():
        if arguments.only in proof.promise:
            row = proofs.run(proof)
            violated = violated or bool(row.outcome.violations)
            print(report(row), flush=True)
    return 1 if violated else 0


if __name__ == "__main__":
    sys.exit(main())

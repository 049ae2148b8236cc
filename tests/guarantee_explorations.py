"""Runs the state machine tests of event orders with more examples than CI."""

import hypothesis
from hypothesis import stateful

from tests import collection, proofs

COORDINATION = "packages/coordination/lacewingdrum_coordination"
MAX_EXAMPLES = 1_500


def _explore(file_name: str, machine_name: str) -> proofs.Outcome:
    module = collection.load_module(collection.ROOT / COORDINATION / file_name)
    machine = getattr(module, machine_name)
    runs = 0

    class Counted(machine):  # type: ignore[misc, valid-type]
        """Counts the runs of the state machine."""

        def __init__(self) -> None:
            nonlocal runs
            runs += 1
            super().__init__()

    settings = hypothesis.settings(module.SETTINGS, max_examples=MAX_EXAMPLES)
    try:
        stateful.run_state_machine_as_test(Counted, settings=settings)
    except Exception as error:
        return proofs.Outcome(runs, (f"{type(error).__name__}: {error}"[:500],))
    return proofs.Outcome(runs)


PROOFS = (
    proofs.Proof(
        "orders: sent at most once over event orders",
        0,
        lambda seed: _explore("orders_test.py", "OrderMachine"),
    ),
    proofs.Proof(
        "documents: operators' answers hold over event orders",
        0,
        lambda seed: _explore("documents_test.py", "DocumentMachine"),
    ),
    proofs.Proof(
        "fencing: one holder, its state stays, over event orders",
        0,
        lambda seed: _explore("leases_test.py", "LeaseMachine"),
    ),
)

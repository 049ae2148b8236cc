"""The engine performance model that measurements and tests use."""

from lacewingdrum_state import configurations

MODEL = configurations.EnginePerformanceModel(
    slots=8,
    kv_capacity_tokens=450_000,
    step_ms=0.925,
    step_ms_per_writer=0.00966,
    step_ms_per_context_token=0.00000254,
    read_tokens_per_ms=256.0,
    read_ms_per_pair=0.0917e-6,
    chunk_tokens=2_048,
    steps_per_pass=46,
)

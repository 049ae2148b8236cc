"""Decides when a second engine is asked to go on with a stream.

A lost packet holds an event back for a retransmission timeout, usually 200 ms,
which with the time of a pass exceeds the pause limits of short answers. A
second engine that reads a short prompt again makes the next event sooner.
"""

import dataclasses

from lacewingdrum_coordination import engine_times
from lacewingdrum_state import configurations

# A prompt is read a second time only if that takes at most this share of its
# pause limit, so that the other requests of an engine hardly notice it.
PREFILL_SHARE_MAX = 0.25
# The share of the pause limit that is left to the network, and to passes of
# the second engine that take longer than expected.
MARGIN_SHARE = 0.2
# No event is late before this multiple of the time of a pass.
PASS_FACTOR = 2.0
# An event counts as late from this multiple of its expected time on.
EXPECTED_FACTOR = 1.25
# A request waits for half of a pass and is then read in the next one, which
# also makes its event.
PASSES_TO_EVENT = 1.5


@dataclasses.dataclass(frozen=True, slots=True)
class ResumeWindow:
    """The silence of an engine after which a second one is asked.

    From ``from_ms`` to ``to_ms`` the second engine is expected to make the
    next event before the pause exceeds its limit.
    """

    from_ms: float
    to_ms: float

    def is_due(self, silent_ms: float, expected_pause_ms: float) -> bool:
        """Return whether a second engine is to be asked now.

        Args:
            silent_ms: the time since the last event.
            expected_pause_ms: the pause that the work of the engine explains.
        """
        is_late = silent_ms >= EXPECTED_FACTOR * expected_pause_ms
        return is_late and self.from_ms <= silent_ms <= self.to_ms


def resume_window(
    model: configurations.EnginePerformanceModel,
    prompt_tokens: int,
    pause_limit_ms: float,
) -> ResumeWindow | None:
    """Return when a second engine can still make the next event in time.

    The window is as late as possible, as most late events still come.

    Args:
        model: the engine parameters that the operators state.
        prompt_tokens: the length of the stream's prompt.
        pause_limit_ms: the longest pause between events that is not late.

    Returns:
        The window, or None if the prompt is too long to be read again, or a
        second engine would not be in time.
    """
    prefill_ms = engine_times.prefill_ms(model, prompt_tokens, 1)
    if prefill_ms > PREFILL_SHARE_MAX * pause_limit_ms:
        return None
    pass_ms = engine_times.decode_pass_ms(model, 1, prompt_tokens)
    to_ms = pause_limit_ms - prefill_ms - PASSES_TO_EVENT * pass_ms
    from_ms = max(to_ms - MARGIN_SHARE * pause_limit_ms, PASS_FACTOR * pass_ms)
    if from_ms >= to_ms:
        return None
    return ResumeWindow(from_ms, to_ms)

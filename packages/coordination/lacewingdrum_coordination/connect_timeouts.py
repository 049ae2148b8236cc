"""Decides how long to wait for a connection to a runner.

A lost packet of a handshake is sent again only after a second. A request that
waits for it is late, while another runner can still answer it in time, as
nothing has been sent.
"""

# The share of the objective after which another runner is tried.
OBJECTIVE_SHARE = 0.5
# Includes turns of busy event loops at both ends.
TIMEOUT_MIN_S = 0.15
TIMEOUT_MAX_S = 0.5
# A handshake takes two delays of one way; the rest is for their variation.
DELAYS_PER_HANDSHAKE = 4.0


def connect_timeout_s(objective_ms: float, delay_ms: float) -> float:
    """Return how long to wait for a connection to a runner.

    Args:
        objective_ms: the objective of the request's route, or 0 without one.
        delay_ms: the delay of the network, one way, to the runner's data
            centre.

    Returns:
        The time, in seconds.
    """
    if not objective_ms:
        return TIMEOUT_MAX_S
    share_s = OBJECTIVE_SHARE * objective_ms / 1_000
    handshake_s = DELAYS_PER_HANDSHAKE * delay_ms / 1_000
    return min(max(share_s, TIMEOUT_MIN_S + handshake_s), TIMEOUT_MAX_S)

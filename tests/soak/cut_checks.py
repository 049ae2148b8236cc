"""Checks that callers of gateways that reach no runner are served."""

from tests.soak import checks

# From this time after a cut began, callers of daemons that are cut off are
# served two thirds as often as others, but for so many.
CUT_KNOWN_S = 3.0
CUT_SERVED_RATIO = 2 / 3
CUT_FAILED_MAX = 10
CUT_FAILED_SHARE = 1 / 50


def violations(
    cuts: list[checks.RunnerCut],
    observed: list[checks.ObservedRequest],
    disruptions: list[checks.Disruption],
) -> list[str]:
    """Check that callers of daemons that are cut off are served.

    Args:
        cuts: when gateways were cut off from all runners.
        observed: the requests as their callers saw them.
        disruptions: when gateways were paused, killed or stopped; requests at
            such a gateway are not counted, nor are those that came while this
            was so at all gateways that reach runners.

    Returns:
        A line for each cut whose callers were served too rarely.
    """
    found: list[str] = []
    for cut in cuts:
        reaching = {item.gateway for item in observed} - cut.gateways
        known_s = cut.from_s + CUT_KNOWN_S
        counted = [
            item
            for item in observed
            if known_s <= item.sent_s <= cut.to_s
            and item.status != checks.GIVEN_UP
            and not _is_disrupted(item.gateway, item, disruptions)
            and not all(_is_disrupted(other, item, disruptions) for other in reaching)
        ]
        served = [item for item in counted if item.status == 200]
        inside = sum(item.gateway in cut.gateways for item in counted)
        inside_served = sum(item.gateway in cut.gateways for item in served)
        outside = len(counted) - inside
        outside_served = len(served) - inside_served
        failed = inside - inside_served
        fair_share = CUT_SERVED_RATIO * outside_served * inside
        is_served_less = inside_served * outside < fair_share
        is_many = failed > CUT_FAILED_MAX + CUT_FAILED_SHARE * len(counted)
        if is_served_less and is_many:
            found.append(
                f"gateways {sorted(cut.gateways)} cut off: {inside_served} of "
                f"{inside} served, at the others {outside_served} of {outside}"
            )
    return found


def _is_disrupted(
    gateway: int,
    request: checks.ObservedRequest,
    disruptions: list[checks.Disruption],
) -> bool:
    return any(
        span.gateway == gateway
        and span.from_s < request.ended_s
        and span.to_s > request.sent_s - CUT_KNOWN_S
        for span in disruptions
    )

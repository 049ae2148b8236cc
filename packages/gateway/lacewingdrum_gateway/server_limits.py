"""Limits of the servers for callers and for other daemons."""

import dataclasses

from lacewingdrum_coordination import route_table
from lacewingdrum_gateway import settings
from lacewingdrum_state import units
from lacewingdrum_transport import http_server

BYTES_PER_MB = 1_000_000
BODY_MEMORY_SHARE = 0.35
RELAYED_BODY_MEMORY_SHARE = 0.1
# The other descriptors are kept for runners, peers and the store.
CALLER_DESCRIPTOR_SHARE = 0.5
RELAY_DESCRIPTOR_SHARE = 0.1
# A caller that reads slowly occupies up to a quarter of a megabyte.
CALLERS_PER_MB = 4


def for_callers(
    limits: settings.LimitsSettings, table: route_table.RouteTable | None
) -> http_server.ServerLimits:
    """Return the limits for callers.

    Args:
        limits: the resources of this process.
        table: the configuration in force, or None.
    """
    own = http_server.ServerLimits(
        held_body_bytes=int(limits.memory_mb * BYTES_PER_MB * BODY_MEMORY_SHARE),
        connections=min(
            int(limits.descriptors * CALLER_DESCRIPTOR_SHARE),
            limits.memory_mb * CALLERS_PER_MB,
        ),
    )
    if table is None:
        return own
    configured = table.configuration.limits
    return dataclasses.replace(
        own,
        header_bytes=configured.header_bytes,
        body_bytes=configured.body_bytes,
        header_timeout_s=configured.header_timeout_ms / units.MS_PER_S,
        idle_timeout_s=configured.idle_timeout_ms / units.MS_PER_S,
    )


def for_daemons(
    limits: settings.LimitsSettings, table: route_table.RouteTable | None
) -> http_server.ServerLimits:
    """Return the limits for daemons that pass on requests of their callers."""
    return dataclasses.replace(
        for_callers(limits, table),
        held_body_bytes=int(
            limits.memory_mb * BYTES_PER_MB * RELAYED_BODY_MEMORY_SHARE
        ),
        connections=int(limits.descriptors * RELAY_DESCRIPTOR_SHARE),
    )

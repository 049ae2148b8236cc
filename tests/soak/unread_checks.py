"""Checks that gateways of today read all that earlier ones tell them."""

from result import Err

from lacewingdrum_state import fleet
from lacewingdrum_transport import http_client
from tests.soak import builds, site

UNREAD = "lacewingdrum_peer_messages_unread_total"
LIMIT_S = 3.0


async def violations(soak_site: site.SoakSite) -> list[str]:
    """Return a line for each gateway that has skipped a part of a message."""
    found: list[str] = []
    client = http_client.HttpClient()
    for number, build in enumerate(soak_site.builds):
        if build is not builds.TODAY:
            continue
        address = fleet.Address(soak_site.host(number), soak_site.metrics_port)
        headers = (("Host", "metrics.example"),)
        answer = await client.request(address, "GET", "/metrics", headers, b"", LIMIT_S)
        if isinstance(answer, Err):
            found.append(f"gateway {number} has no metrics: {answer.err_value}")
            continue
        lines = answer.ok_value.body.decode().splitlines()
        found += [
            f"gateway {number}: {line}" for line in lines if line.startswith(UNREAD)
        ]
    await client.close()
    return found

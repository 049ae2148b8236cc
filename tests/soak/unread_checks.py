"""Checks that gateways of today read all that earlier ones tell them."""

from result import Err

from lacewingdrum_state import fleet
from lacewingdrum_transport import http_client
from tests.soak import builds, site

UNREAD = "lacewingdrum_peer_messages_unread_total"
LIMIT_S = 1.0


async def violations(soak_site: site.SoakSite, number: int) -> list[str]:
    """Return a line for each reason why a gateway skipped what it was told.

    Args:
        soak_site: the site.
        number: the gateway's number; one of an earlier build skips nothing.
    """
    if soak_site.builds[number] is not builds.TODAY:
        return []
    client = http_client.HttpClient()
    address = fleet.Address(soak_site.host(number), soak_site.metrics_port)
    headers = (("Host", "metrics.example"),)
    answer = await client.request(address, "GET", "/metrics", headers, b"", LIMIT_S)
    await client.close()
    if isinstance(answer, Err):
        # It may stand still or restart; its later lives are checked as well.
        return []
    lines = answer.ok_value.body.decode().splitlines()
    return [f"gateway {number}: {line}" for line in lines if line.startswith(UNREAD)]

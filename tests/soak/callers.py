"""Sends the requests of a soak over connections that are kept open."""

import asyncio
import random

from result import Ok

from lacewingdrum_state import fleet
from lacewingdrum_transport import http_client, http_messages
from tests.soak import checks, site

CALLERS = 8
THINK_S = 0.05
LIMIT_S = 3.0
# Tokens. The largest prompt exceeds the memory of one engine.
SHORT_PROMPTS = (3_000, 20_000)
LONG_PROMPTS = (150_000, 460_000)
LONG_SHARE = 0.03
GIVE_UP_SHARE = 0.05
FIRST_PARTS = ("a0", "a1", "a2")
# The share of streams with the part that crashes engines, or of reads that
# crash plain runners, while there are such.
CRASHING_SHARE = 0.3


class Callers:
    """Sends all kinds of requests to all gateways and records the outcomes."""

    def __init__(self, soak_site: site.SoakSite, rng: random.Random) -> None:
        self.observed: list[checks.ObservedRequest] = []
        self._site = soak_site
        self._rng = rng
        self._number = 0

    async def run(self, stop: asyncio.Event) -> None:
        """Send requests until ``stop`` is set and pending requests end."""
        await asyncio.gather(*(self._caller(stop) for _ in range(CALLERS)))

    async def _caller(self, stop: asyncio.Event) -> None:
        client = http_client.HttpClient()
        try:
            while not stop.is_set():
                await self._request(client)
                await asyncio.sleep(self._rng.uniform(0, 2 * THINK_S))
        finally:
            await client.close()

    async def _request(self, client: http_client.HttpClient) -> None:
        gateway = self._rng.randrange(self._site.gateway_count)
        kind = self._rng.choice((checks.ORDER_PREFIX, checks.STREAM_PREFIX, "read"))
        prompts: tuple[int, ...] = ()
        if kind == checks.STREAM_PREFIX:
            prompts = SHORT_PROMPTS
        elif self._rng.random() < LONG_SHARE:
            kind, prompts = checks.LONG_STREAM_PREFIX, LONG_PROMPTS
        self._number += 1
        attempt_id = f"{kind}-{self._number}"
        # The newest credential is in force before the oldest is withdrawn.
        credential = self._site.credentials[0]
        headers: http_messages.Headers = (
            ("Host", "site.example"),
            ("Attempt-Id", attempt_id),
            ("Key", credential),
            ("Deadline-Ms", str(int(LIMIT_S * 1_000))),
        )
        if prompts:
            tokens = self._rng.choice(prompts)
            headers += (("Token-Count", f"{tokens},100"), ("Model", "m"))
            headers += (("Prompt-Prefix", self._draw_parts(tokens)),)
        port = self._site.caller_ports[gateway]
        address = fleet.Address(self._site.host(gateway), port)
        loop = asyncio.get_running_loop()
        sent_s, build = loop.time(), self._site.builds[gateway].name
        limit_s = 3 * LIMIT_S
        if self._rng.random() < GIVE_UP_SHARE:
            limit_s = self._rng.uniform(0.02, 0.3)
        answer = await client.request(
            address, "POST", f"/{kind}/x", headers, self._draw_body(kind), limit_s
        )
        status, body, receipt = 0, b"", ""
        if limit_s < LIMIT_S:
            status = checks.GIVEN_UP
        if isinstance(answer, Ok):
            status, body = answer.ok_value.status, answer.ok_value.body
            receipt = answer.ok_value.header("Response-Seal")
        self.observed.append(
            checks.ObservedRequest(
                attempt_id=attempt_id,
                gateway=gateway,
                build=build,
                credential=credential,
                sent_s=sent_s,
                ended_s=loop.time(),
                limit_s=LIMIT_S,
                status=status,
                body=body,
                receipt=receipt,
            )
        )

    def _draw_body(self, kind: str) -> bytes:
        is_crashing = kind == "read" and self._rng.random() < CRASHING_SHARE
        crashing = self._site.crashing_read
        return crashing if is_crashing and crashing else b"body"

    def _draw_parts(self, tokens: int) -> str:
        parts = [self._rng.choice(FIRST_PARTS)]
        has_crashing_part = self._rng.random() < CRASHING_SHARE
        if self._site.crashing_part and has_crashing_part:
            parts.append(self._site.crashing_part)
        shared = "".join(f"{part}:40," for part in parts)
        return f"{shared}{self._number:x}f:{tokens}"


def answered_share(observed: list[checks.ObservedRequest]) -> float:
    """Return the share of requests with status 200 among those not aborted."""
    stayed = [item for item in observed if item.status != checks.GIVEN_UP]
    return sum(item.status == 200 for item in stayed) / max(len(stayed), 1)

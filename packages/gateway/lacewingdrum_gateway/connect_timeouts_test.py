"""Tests of requests whose connection to a runner is not established."""

import asyncio
import time
import unittest.mock

from lacewingdrum_gateway.gateway_test import ASK, EVENTS
from standins import platform_site, runner_paths

# As the objective of the routes in the site's configuration.
OBJECTIVE_S = 0.3


async def test_request_goes_to_another_runner_while_it_can_be_in_time():
    connect = runner_paths.RunnerPaths.connect
    hanging: list[str] = []
    is_armed = False

    async def connect_or_hang(self, new_protocol, address):
        if is_armed and not hanging:
            hanging.append(str(address))
        if str(address) in hanging:
            await asyncio.Event().wait()
        return await connect(self, new_protocol, address)

    patched = unittest.mock.patch.object(
        runner_paths.RunnerPaths, "connect", connect_or_hang
    )
    for path, headers in (("/ask/x", ASK), ("/read/x", ())):
        hanging.clear()
        is_armed = False
        with patched:
            async with platform_site.running_site() as site:
                for runner in (*site.engines, *site.ledgers):
                    runner.event_interval_s = 0.0
                is_armed = True
                start_s = time.monotonic()
                answer = await site.call(path, "a1", headers=headers)
                took_s = time.monotonic() - start_s
        assert hanging and answer.status == 200, path
        assert path == "/read/x" or answer.body == EVENTS
        assert took_s < OBJECTIVE_S, (path, took_s)

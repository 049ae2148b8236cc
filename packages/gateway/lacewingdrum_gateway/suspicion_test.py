import asyncio
import contextlib

from standins import platform_site, ports

BROADCAST_S = 0.2


async def test_dead_runner_is_suspected_by_daemons_that_have_not_tried_it():
    async with platform_site.running_site(gateways=2, ledgers=3) as site:
        dead = site.ledgers[0]
        await dead.close()
        one, other = site.gateways
        with contextlib.closing(ports.hold(dead.port)):
            for number in range(12):
                await site.call("/read/x", f"a{number}", on=one)
        await asyncio.sleep(BROADCAST_S)
        counts = await suspicions(site, other)
        assert 'reason="peer"' in counts


async def test_runner_that_only_a_peer_cannot_reach_stays_in_use():
    async with platform_site.running_site(gateways=2, ledgers=1) as site:
        (runner,) = site.ledgers
        one, other = site.gateways
        runner.faults = [platform_site.platform_runner.Fault.SILENT]
        headers = (("Deadline-Ms", "1500"),)
        await site.call("/read/x", "a1", headers=headers, on=one)
        await asyncio.sleep(BROADCAST_S)
        for number in range(3):
            answer = await site.call("/read/x", f"b{number}", on=other)
            assert answer.status == 200


async def suspicions(site, running) -> str:
    vm = running.gateway_settings.vm
    address = platform_site.fleet.Address(vm.host, vm.metrics_port)
    answer = await site.client.request(address, "GET", "/metrics")
    lines = answer.ok_value.body.decode().splitlines()
    return "\n".join(line for line in lines if "runner_suspicions" in line)

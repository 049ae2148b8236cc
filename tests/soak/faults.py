"""Injects random, possibly overlapping faults into a soak site."""

import asyncio
import dataclasses
import enum
import random
import signal
from collections.abc import Awaitable, Callable

from standins import fault_proxy, platform_store, runner_paths, slope_dead_rows
from tests.soak import builds, checks, runner_faults, site, unread_checks, upgrades

# A cut lasts longer than the time in which it has to be noticed.
CUT_MIN_S = 4.0
DEAD_ROWS = 100
# All gateways get settings signals, whatever else goes on.
SETTINGS_INTERVAL_S = 0.1


class Profile(enum.Enum):
    """Which faults are drawn; with ``SOUND`` ones no request may be lost."""

    ALL = "all"
    SOUND = "sound"


@dataclasses.dataclass(frozen=True, slots=True)
class Injection:
    """A fault's name and the function that injects it and ends it."""

    name: str
    act: Callable[[], Awaitable[None]]


class Injector:
    """Draws faults and injects them into a site."""

    def __init__(
        self,
        soak_site: site.SoakSite,
        rng: random.Random,
        profile: Profile = Profile.ALL,
    ) -> None:
        self._site = soak_site
        self._rng = rng
        self._profile = profile
        self._busy_gateways: set[int] = set()
        self._is_cut = False
        self._runners = runner_faults.RunnerFaults(soak_site, rng)
        self._upgrades = upgrades.Upgrades(soak_site, rng, self._kill)

    async def run(self, length_s: float) -> None:
        """Start faults for ``length_s``, then wait until all have ended."""
        loop = asyncio.get_running_loop()
        until_s = loop.time() + length_s
        running: set[asyncio.Task[None]] = set()
        running.add(asyncio.ensure_future(self._signal_settings(until_s)))
        build = self._upgrades.draw_build()
        if build is not None:
            self._site.faults.append(f"all become {build.name}")
            running.add(asyncio.ensure_future(self._upgrades.roll(build)))
        while loop.time() < until_s:
            await asyncio.sleep(self._rng.uniform(0.1, 1.2))
            is_sound = self._profile is Profile.SOUND
            injection = self._draw_sound() if is_sound else self._draw()
            self._site.faults.append(injection.name)
            running.add(asyncio.ensure_future(injection.act()))
        await asyncio.gather(*running)

    async def _signal_settings(self, until_s: float) -> None:
        loop = asyncio.get_running_loop()
        while loop.time() < until_s:
            for number in range(self._site.gateway_count):
                self._site.signal_settings(number)
            await asyncio.sleep(SETTINGS_INTERVAL_S)

    def _draw(self) -> Injection:
        rng = self._rng
        span_s = rng.uniform(0.3, 3.0)
        gateway = rng.randrange(self._site.gateway_count)
        runner = rng.randrange(len(self._site.runners))
        store = self._site.store_proxies[gateway]
        path = self._site.runner_proxies[runner]
        mode = rng.choice(list(platform_store.StoreMode)[1:])
        stop_signal = rng.choice((signal.SIGTERM, signal.SIGKILL))
        path_fault = rng.choice(
            (
                fault_proxy.PathFault.SILENT,
                fault_proxy.PathFault.ONE_WAY,
                fault_proxy.PathFault.DELAYED,
            )
        )
        build = self._upgrades.draw_build()
        injections = [
            Injection(f"store {mode.value}", lambda: self._store(mode, span_s)),
            Injection("store forgets", self._forget_history),
            Injection("store returns", lambda: self._return_store(span_s)),
            Injection("rows of ended daemons", self._add_dead_rows),
            Injection(
                f"store path {gateway} {path_fault.value}",
                lambda: self._impair_path(store, path_fault, span_s),
            ),
            Injection(
                f"runner path {runner} {path_fault.value}",
                lambda: self._impair_path(path, path_fault, span_s),
            ),
            Injection(f"runner path {runner} reset", lambda: self._reset(path)),
            Injection(
                f"{stop_signal.name} gateway {gateway}",
                lambda: self._kill(gateway, stop_signal, build),
            ),
            Injection(f"pause gateway {gateway}", lambda: self._pause(gateway, span_s)),
            Injection(
                f"runner {runner} fails", lambda: self._runners.fail(runner, span_s)
            ),
            Injection(
                f"runner {runner} leaves", lambda: self._runners.leave(runner, span_s)
            ),
            Injection(
                f"runner {runner} says it leaves",
                lambda: self._runners.say_leaving(runner, span_s),
            ),
            Injection(
                f"runner {runner} wants a pause",
                lambda: self._runners.want_pause(runner, span_s),
            ),
            Injection(
                f"runner {runner} names a limit",
                lambda: self._runners.name_limit(runner, span_s),
            ),
            Injection(
                "runners repeat a refusal",
                lambda: self._runners.repeat_refusal(span_s),
            ),
            Injection("part crashes engines", lambda: self._runners.crash(span_s)),
            Injection("read crashes runners", lambda: self._runners.crash_read(span_s)),
            Injection("cut from runners", lambda: self._cut_off(span_s)),
            Injection("configuration", self._configure),
            Injection("credential withdrawn", self._rotate_credential),
        ]
        injections = [item for item in injections if self._upgrades.allows(item.name)]
        if build is not None:
            rolling = Injection(
                f"all become {build.name}", lambda: self._upgrades.roll(build)
            )
            injections.append(rolling)
        return rng.choice(injections)

    def _draw_sound(self) -> Injection:
        """Draw planned work, or slow or silent runners that go on."""
        rng = self._rng
        span_s = rng.uniform(0.3, 3.0)
        gateway = rng.randrange(self._site.gateway_count)
        runner = rng.randrange(len(self._site.runners))
        build = self._upgrades.draw_build()
        return rng.choice(
            (
                Injection("runners pause", lambda: self._runners.silence(span_s)),
                Injection(
                    f"SIGTERM gateway {gateway}, plain runners are slow",
                    lambda: self._stop_beside_slow_runners(gateway, build),
                ),
                Injection(
                    f"runner {runner} leaves",
                    lambda: self._runners.leave(runner, span_s),
                ),
                Injection(
                    f"SIGTERM gateway {gateway}",
                    lambda: self._kill(gateway, signal.SIGTERM, build),
                ),
                Injection("configuration", self._configure),
                Injection("credential withdrawn", self._rotate_credential),
            )
        )

    async def _store(self, mode: platform_store.StoreMode, span_s: float) -> None:
        self._site.store.mode = mode
        await asyncio.sleep(span_s)
        self._site.store.mode = platform_store.StoreMode.HEALTHY

    async def _forget_history(self) -> None:
        self._site.store.forget_history()

    async def _add_dead_rows(self) -> None:
        port = int(self._site.peer_address(0).rpartition(":")[2])
        slope_dead_rows.add_dead_rows(self._site.store, DEAD_ROWS, port)

    async def _return_store(self, span_s: float) -> None:
        copied = self._site.store.copy()
        await asyncio.sleep(span_s)
        self._site.return_store(copied)

    async def _impair_path(
        self,
        path_proxy: fault_proxy.FaultProxy,
        path_fault: fault_proxy.PathFault,
        span_s: float,
    ) -> None:
        if path_fault is fault_proxy.PathFault.DELAYED:
            path_proxy.path_fault = path_fault
        else:
            path_proxy.silence(path_fault)
        await asyncio.sleep(span_s)
        path_proxy.path_fault = fault_proxy.PathFault.NONE

    async def _reset(self, path_proxy: fault_proxy.FaultProxy) -> None:
        path_proxy.reset()

    async def _kill(
        self, gateway: int, stop_signal: signal.Signals, build: builds.Build | None
    ) -> None:
        if gateway in self._busy_gateways:
            return
        self._busy_gateways.add(gateway)
        self._site.unread += await unread_checks.violations(self._site, gateway)
        try:
            await self._site.kill(gateway, stop_signal, build)
        finally:
            self._busy_gateways.discard(gateway)

    async def _stop_beside_slow_runners(
        self, gateway: int, build: builds.Build | None
    ) -> None:
        await asyncio.gather(
            self._runners.slow_down(site.GRACE_S),
            self._kill(gateway, signal.SIGTERM, build),
        )

    async def _pause(self, gateway: int, span_s: float) -> None:
        if gateway in self._busy_gateways:
            return
        self._busy_gateways.add(gateway)
        try:
            await self._site.pause(gateway, span_s)
        finally:
            self._busy_gateways.discard(gateway)

    async def _cut_off(self, span_s: float) -> None:
        """Cut some gateways, most or all, off from all runners."""
        if self._is_cut:
            return
        self._is_cut = True
        cut = self._rng.choice(list(runner_paths.Cut))
        count = self._rng.randint(1, self._site.gateway_count)
        gateways = self._rng.sample(range(self._site.gateway_count), count)
        from_s = asyncio.get_running_loop().time()
        for number in gateways:
            self._site.cut_off(number, cut)
        await asyncio.sleep(CUT_MIN_S + span_s)
        for number in gateways:
            self._site.cut_off(number, None)
        to_s = asyncio.get_running_loop().time()
        if count < self._site.gateway_count:
            cut_gateways = checks.RunnerCut(frozenset(gateways), from_s, to_s)
            self._site.cuts.append(cut_gateways)
        self._is_cut = False

    async def _configure(self) -> None:
        self._site.write_configuration()

    async def _rotate_credential(self) -> None:
        credentials = self._site.credentials
        credentials.append(f"key-{self._site.version}-{len(self._site.faults)}")
        self._site.write_configuration()
        await asyncio.sleep(2.0)
        credentials.pop(0)
        self._site.write_configuration()

"""Replaces the gateways of a soak by those of other builds."""

import random
import signal
from collections.abc import Awaitable, Callable

from tests.soak import builds, site

# Only builds that pass requests on keep their promises under these faults.
NEEDING_RELAYS = frozenset(("read crashes runners", "cut from runners"))

Kill = Callable[[int, signal.Signals, builds.Build | None], Awaitable[None]]


class Upgrades:
    """Draws builds and replaces all gateways.

    Args:
        soak_site: the site.
        rng: draws the builds.
        kill: stops a gateway and starts it again, as a build.
    """

    def __init__(
        self, soak_site: site.SoakSite, rng: random.Random, kill: Kill
    ) -> None:
        self._known = soak_site.known_builds
        self._gateway_count = soak_site.gateway_count
        self._rng = rng
        self._kill = kill
        self._is_rolling = False
        self._have_relays = all(build.has_relays for build in self._known)

    def allows(self, fault: str) -> bool:
        """Return whether all builds keep their promises under a fault."""
        return self._have_relays or fault not in NEEDING_RELAYS

    def draw_build(self) -> builds.Build | None:
        """Return what a gateway is to run after its next start.

        It is None where all gateways run the same build.
        """
        return self._rng.choice(self._known) if len(self._known) > 1 else None

    async def roll(self, build: builds.Build) -> None:
        """Replace all gateways by those of a build, one after the other."""
        if self._is_rolling:
            return
        self._is_rolling = True
        for gateway in range(self._gateway_count):
            await self._kill(gateway, signal.SIGTERM, build)
        self._is_rolling = False

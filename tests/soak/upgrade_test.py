"""Gateways of earlier commits beside today's are replaced one by one."""

import asyncio
import contextlib
import pathlib
import random
import signal

import msgspec
import zmq

from lacewingdrum_protocol import peer_messages
from standins import runner_paths
from tests.soak import builds, callers, checks, site

SEED = 11
# Gateways by their numbers in the site.
OLDEST, PREVIOUS, TODAYS = range(3)
CUT_NOTICED_S = 0.8
CUT_S = 2.3
ROLL_GAP_S = 1.5
RECOVERY_S = 0.5
SETTLE_S = 1.0
SERVED_MIN = 0.9
LATER_INTERVAL_S = 0.1
LATER_SENDER = "127.0.0.9:7000"
VERSION = peer_messages.WIRE_VERSION
HEARTBEAT = ["hb", 1, "north", False, [], [], 1, [], {"topic": 5}, 0]
LATER_MESSAGES = (
    [VERSION, LATER_SENDER, ["kind of later builds", 1, {"a": [2]}]],
    [VERSION, LATER_SENDER, [*HEARTBEAT, "a field of later builds"]],
    [VERSION, LATER_SENDER, ["wrk", "a field that has become a text"]],
    [VERSION + 1, LATER_SENDER, HEARTBEAT],
)


class Upgrade:
    """The site, its callers, and what has to be checked at the end.

    All gateways hear a daemon of a later build as well.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        self._folder = folder
        known = (
            *(builds.unpack(commit, folder) for commit in builds.EARLIER_COMMITS),
            builds.TODAY,
        )
        self.builds = known
        self.site = site.SoakSite(folder, random.Random(SEED), len(known), known)
        self.callers = callers.Callers(self.site, random.Random(SEED + 1))
        self.violations: list[str] = []

    async def run(self) -> list[str]:
        """Return a line for each broken promise."""
        stop = asyncio.Event()
        try:
            await self.site.start()
            for number in range(len(self.builds)):
                await self.site.wait_until_ready(number)
            calling = asyncio.ensure_future(self.callers.run(stop))
            sending = asyncio.ensure_future(self._send_later_messages())
            await self._cut_off(TODAYS, peer=PREVIOUS)
            await self._cut_off(PREVIOUS, peer=TODAYS)
            self._check_logged(OLDEST, "peer_joined", f'"peer":"{LATER_SENDER}"')
            await self._replace_all()
            await asyncio.sleep(RECOVERY_S)
            recovered_s = asyncio.get_running_loop().time()
            await asyncio.sleep(SETTLE_S)
            stop.set()
            await calling
            sending.cancel()
            self._check_served("after all", recovered_s)
            self.violations += checks.violations(
                self.callers.observed, self.site.runners, self.site.disruptions
            )
        finally:
            self.violations += await self.site.close()
        return self.violations

    async def _send_later_messages(self) -> None:
        with zmq.Context() as context, context.socket(zmq.DEALER) as dealer:
            dealer.setsockopt(zmq.LINGER, 0)
            for number in range(len(self.builds)):
                dealer.connect(f"tcp://{self.site.peer_address(number)}")
            while True:
                # A DEALER sends to its connections in turn.
                for message in LATER_MESSAGES:
                    for _ in self.builds:
                        data = msgspec.msgpack.encode(message)
                        _send(dealer, data)
                await asyncio.sleep(LATER_INTERVAL_S)

    async def _cut_off(self, number: int, peer: int) -> None:
        """Cut a gateway off, change the configuration, let a runner leave."""
        self.site.cut_off(number, runner_paths.Cut.RESET)
        self.site.write_configuration()
        self.site.register(number, "draining")
        await asyncio.sleep(CUT_NOTICED_S)
        noticed_s = asyncio.get_running_loop().time()
        await asyncio.sleep(CUT_S - CUT_NOTICED_S)
        self.site.restart_runner(number)
        self.site.cut_off(number, None)
        self._check_served(f"while {number} is cut off", noticed_s, number)
        self._check_logged(number, "relayed", f'"peer":"{self.site.host(peer)}:')
        self._check_logged(number, "peer_joined", f'"peer":"{LATER_SENDER}"')

    async def _replace_all(self) -> None:
        """Give earlier gateways today's build, and today's an earlier one.

        The first one that was replaced is killed while others are replaced.
        """
        loop = asyncio.get_running_loop()
        from_s = loop.time()
        after = (builds.TODAY, builds.TODAY, self.builds[PREVIOUS])
        replacing = []
        for number, build in enumerate(after):
            stopping = self.site.kill(number, signal.SIGTERM, build)
            replacing.append(asyncio.ensure_future(stopping))
            self.site.register(number, "draining")
            self.site.write_configuration()
            await asyncio.sleep(ROLL_GAP_S)
            self.site.restart_runner(number)
        await replacing[OLDEST]
        killed_s = loop.time()
        await self.site.kill(OLDEST, signal.SIGKILL)
        await asyncio.gather(*replacing)
        ran = {name for runner in self.site.runners for name in runner.runs}
        self.violations += [
            f"{item.attempt_id} at gateway {item.gateway}: ran, but was cut"
            for item in self.callers.observed
            if item.status == 0 and item.sent_s > from_s and item.attempt_id in ran
            if item.gateway != OLDEST or item.ended_s < killed_s
        ]

    def _check_served(
        self, when: str, from_s: float, gateway: int | None = None
    ) -> None:
        """Check that callers are served, at one gateway or at all."""
        observed = [
            item
            for item in self.callers.observed
            if item.sent_s > from_s and gateway in (None, item.gateway)
        ]
        share = callers.answered_share(observed)
        if share < SERVED_MIN:
            self.violations.append(f"{share:.2f} served {when} of {len(observed)}")

    def _check_logged(self, number: int, event: str, field: str) -> None:
        log = (self._folder / f"gateway-{number}.log").read_text()
        lines = [line for line in log.splitlines() if f'"event":"{event}"' in line]
        if not any(field in line for line in lines):
            self.violations.append(f"gateway {number} has no {event} with {field}")


def _send(dealer: zmq.Socket[bytes], data: bytes) -> None:
    with contextlib.suppress(zmq.ZMQError):
        dealer.send(data, zmq.NOBLOCK)


def test_gateways_of_earlier_commits_are_replaced_and_put_back_under_load(
    folder: pathlib.Path,
):
    broken = asyncio.run(Upgrade(folder).run())
    assert not broken, "\n".join(broken)


def test_missing_commit_of_an_earlier_build_is_named(folder: pathlib.Path):
    try:
        builds.unpack("0" * 40, folder)
    except builds.MissingCommitError as error:
        assert "0" * 40 in str(error) and "whole history" in str(error)
    else:
        raise AssertionError("a commit that does not exist was unpacked")

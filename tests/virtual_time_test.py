"""Tests of the virtual-time loop."""

import asyncio

from tests import virtual_time


def test_long_sleep_takes_no_real_time():
    async def main(loop):
        before_s = loop.time()
        await asyncio.sleep(3_600)
        return loop.time() - before_s

    assert 3_600 <= virtual_time.run(main) < 3_601


def test_deadlock_raises_runtime_error():
    async def main(loop):
        await asyncio.Event().wait()

    try:
        virtual_time.run(main)
    except RuntimeError as error:
        assert "nothing is left" in str(error)
    else:
        raise AssertionError("the deadlock raised no error")

import asyncio
import pathlib

from tests.soak import __main__ as soak, faults

SEED = 7
SOUND_SEED = 41
LENGTH_S = 3.0
SOUND_LENGTH_S = 12.0


def test_short_soak_breaks_no_promise(folder: pathlib.Path):
    assert asyncio.run(soak.soak(SEED, LENGTH_S, folder)) == []


def test_requests_are_not_lost_beside_planned_work_and_silent_runners(
    folder: pathlib.Path,
):
    sound = soak.soak(SOUND_SEED, SOUND_LENGTH_S, folder, profile=faults.Profile.SOUND)
    assert asyncio.run(sound) == []

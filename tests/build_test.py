"""Tests of the build script, on a small workspace of its own."""

import asyncio
import pathlib
import shutil
import sys

from tests import collection

MODULES = 40
STARTERS = 3
ROUNDS = 3
IMPORT = "import lacewingdrum_part, lacewingdrum_platform"


def write_workspace(folder: pathlib.Path) -> pathlib.Path:
    """Write packages and the script; the libraries count as installed."""
    (folder / "deploy").mkdir()
    shutil.copy(collection.ROOT / "deploy/build.sh", folder / "deploy")
    (folder / "deploy/requirements.txt").touch()
    (folder / "target/deps").mkdir(parents=True)
    (folder / "target/deps/.libraries").touch()
    (folder / "platform/lacewingdrum_platform").mkdir(parents=True)
    (folder / "platform/lacewingdrum_platform/__init__.py").touch()
    (folder / "packages/part/lacewingdrum_part").mkdir(parents=True)
    write_version(folder, 0)
    return folder


def write_version(folder: pathlib.Path, version: int) -> None:
    """Write a package that imports all its modules when it is imported."""
    package = folder / "packages/part/lacewingdrum_part"
    names = [f"module_{number}" for number in range(MODULES)]
    for name in names:
        (package / f"{name}.py").write_text(f"VERSION = {version}\n" * 50)
    lines = [f"from lacewingdrum_part import {name}\n" for name in names]
    (package / "__init__.py").write_text("".join(lines))
    (package / "module_test.py").touch()


async def run(folder: pathlib.Path, *command: str) -> str:
    """Run a command; return what it wrote to standard error if it failed."""
    process = await asyncio.create_subprocess_exec(
        *command,
        cwd=folder,
        env={"PYTHONPATH": "target/deps", "PATH": "/usr/bin:/bin"},
        stderr=asyncio.subprocess.PIPE,
    )
    _, errors = await process.communicate()
    return errors.decode() or "failed" if process.returncode else ""


async def build(folder: pathlib.Path) -> None:
    assert await run(folder, "sh", "deploy/build.sh") == ""


async def start_until(ended: asyncio.Event, folder: pathlib.Path) -> int:
    """Start processes that import the packages; return their number."""
    count = 0
    while not ended.is_set():
        assert await run(folder, sys.executable, "-S", "-c", IMPORT) == ""
        count += 1
    return count


async def test_process_that_starts_during_builds_finds_whole_packages(
    folder: pathlib.Path,
):
    write_workspace(folder)
    await build(folder)
    ended = asyncio.Event()
    starting = asyncio.gather(*(start_until(ended, folder) for _ in range(STARTERS)))
    for version in range(ROUNDS):
        write_version(folder, version)
        await asyncio.gather(build(folder), build(folder))
    ended.set()
    assert sum(await starting) > ROUNDS


async def test_build_replaces_what_differs_and_drops_what_is_gone(
    folder: pathlib.Path,
):
    write_workspace(folder)
    await build(folder)
    package = folder / "target/deps/lacewingdrum_part"
    before = (package / "module_0.py").stat().st_ino
    await build(folder)
    assert (package / "module_0.py").stat().st_ino == before
    write_version(folder, 7)
    source = folder / "packages/part/lacewingdrum_part"
    (source / "module_1.py").unlink()
    (source / "__init__.py").write_text("")
    shown = "from lacewingdrum_part import module_0 as m; assert m.VERSION == 7"
    await build(folder)
    assert (package / "module_0.py").read_text().startswith("VERSION = 7")
    names = {path.name for path in package.rglob("module_*")}
    assert not [name for name in names if "module_1." in name or "_test" in name]
    assert await run(folder, sys.executable, "-S", "-c", shown) == ""
    assert sorted(path.name for path in (folder / "target").iterdir()) == [
        ".build-lock",
        "deps",
    ]

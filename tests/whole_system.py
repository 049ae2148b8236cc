"""A small deployment of real processes, for tests of the whole system."""

import asyncio
import contextlib
import json
import pathlib
import re
import sys
from collections.abc import AsyncIterator, Mapping

from lacewingdrum_protocol import document_text
from lacewingdrum_state import documents
from lacewingdrum_transport import http_messages
from standins import cluster

DATA_CENTRES = ("almaty-north", "almaty-east", "almaty-south")
MODEL_SERVICE = "sommelier-llm"
MODEL = "sommelier-large"
APP_SERVICE = "vault-ledger"
CUSTOMER_TOKEN = "demo-harbour-brokers"
EXAMPLES = cluster.ROOT / "examples"
CALL_TIMEOUT_S = 30.0
READY_TIMEOUT_S = 15.0
FAST_STOP = (("drain_notice_ms", 300),)
POLL_S = 0.05


def plan(
    engine_count: int = 3,
    app_count: int = 1,
    options: tuple[str, ...] = (),
    limits: tuple[tuple[str, int], ...] = FAST_STOP,
) -> cluster.Plan:
    """Plan three daemons in three data centres before some runners.

    Args:
        engine_count: engines of the model service.
        app_count: runners of the application service.
        options: given to each engine's process.
        limits: settings of each daemon.

    Returns:
        The plan.
    """
    daemons = tuple(
        cluster.DaemonPlan(f"vm-{number}", centre, limits)
        for number, centre in enumerate(DATA_CENTRES)
    )
    engines = tuple(
        cluster.RunnerPlan(
            f"engine-{number}",
            MODEL_SERVICE,
            DATA_CENTRES[number % len(DATA_CENTRES)],
            True,
            options,
        )
        for number in range(engine_count)
    )
    apps = tuple(
        cluster.RunnerPlan(
            f"ledger-{number}",
            APP_SERVICE,
            DATA_CENTRES[number % len(DATA_CENTRES)],
            False,
        )
        for number in range(app_count)
    )
    return cluster.Plan(daemons, engines + apps)


@contextlib.asynccontextmanager
async def running(
    wanted: cluster.Plan, folder: pathlib.Path, document_folder: pathlib.Path = EXAMPLES
) -> AsyncIterator[cluster.Cluster]:
    """Run a deployment with both documents of Kazvintage in force.

    Args:
        wanted: the deployment.
        folder: for settings and logs.
        document_folder: where the documents are.
    """
    async with cluster.Cluster(wanted, folder) as found:
        for service in (MODEL_SERVICE, APP_SERVICE):
            code, output = await command(
                found, "submit", "--wait", str(document_folder / f"{service}.toml")
            )
            assert code == 0, output
        await found.wait_for("/readyz", READY_TIMEOUT_S)
        await _wait_for_documents(found)
        yield found


def write_documents(
    folder: pathlib.Path, patiences_ms: Mapping[str, str]
) -> tuple[documents.ServiceDocument, ...]:
    """Write Kazvintage's examples with other patience.

    Args:
        folder: where to.
        patiences_ms: the examples' patience against the one wanted.

    Returns:
        The documents, parsed.
    """
    found = []
    for service in (MODEL_SERVICE, APP_SERVICE):
        text = (EXAMPLES / f"{service}.toml").read_text()
        for patience_ms, wanted_ms in patiences_ms.items():
            pattern = rf"patience_ms = {patience_ms}\b"
            text = re.sub(pattern, f"patience_ms = {wanted_ms}", text)
        (folder / f"{service}.toml").write_text(text)
        document, errors = document_text.parse(text)
        assert document is not None, errors
        found.append(document)
    return tuple(found)


async def _wait_for_documents(found: cluster.Cluster) -> None:
    """Wait until each daemon knows the customers of both documents."""
    async with asyncio.timeout(READY_TIMEOUT_S):
        for vm_id in found.daemons:
            while (await complete(found, vm_id, "ready?", 1)).status != 200:
                await asyncio.sleep(POLL_S)
            while (await order(found, vm_id, "GET", "/stock", b"")).status == 401:
                await asyncio.sleep(POLL_S)


async def command(found: cluster.Cluster, *arguments: str) -> tuple[int, str]:
    """Run the operators' binary against the first daemon.

    Returns:
        Its exit code, and what it printed on both outputs.
    """
    credential = found.folder / "operator-credential"
    credential.write_text(cluster.OPERATOR_CREDENTIAL)
    address = next(iter(found.daemons.values())).operators
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "lacewingdrum_cli.main",
        *arguments,
        "--daemon",
        str(address),
        "--credential-file",
        str(credential),
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.STDOUT,
    )
    output, _ = await process.communicate()
    assert process.returncode is not None
    return process.returncode, output.decode()


async def call(
    found: cluster.Cluster,
    vm_id: str,
    method: str,
    path: str,
    body: bytes,
    headers: tuple[tuple[str, str], ...] = (),
    token: str = CUSTOMER_TOKEN,
) -> http_messages.HttpResponse:
    """Send one call of a customer to one daemon.

    Raises:
        ConnectionError: when no whole response came.
    """
    answer = await found.http.request(
        found.daemons[vm_id].callers,
        method,
        path,
        (("Authorization", f"Bearer {token}"), *headers),
        body,
        CALL_TIMEOUT_S,
    )
    if answer.is_err():
        raise ConnectionError(str(answer.err()))
    return answer.unwrap()


def completion_body(prompt: str, max_tokens: int, stream: bool = False) -> bytes:
    """Returns: the JSON body of a completion."""
    fields = {
        "model": MODEL,
        "prompt": prompt,
        "max_tokens": max_tokens,
        "stream": stream,
    }
    return json.dumps(fields).encode()


async def complete(
    found: cluster.Cluster,
    vm_id: str,
    prompt: str,
    max_tokens: int,
    stream: bool = False,
) -> http_messages.HttpResponse:
    """Ask one daemon for a completion."""
    body = completion_body(prompt, max_tokens, stream)
    return await call(found, vm_id, "POST", "/v1/completions", body)


async def order(
    found: cluster.Cluster,
    vm_id: str,
    method: str,
    path: str,
    body: bytes,
    key: str = "",
) -> http_messages.HttpResponse:
    """Send a call of the application service, an order where it has a key."""
    headers = (("Idempotency-Key", key),) if key else ()
    return await call(
        found, vm_id, method, f"/services/{APP_SERVICE}{path}", body, headers
    )

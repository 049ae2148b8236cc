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
    """Plan three daemons, each in its own data centre, and some runners.

    Args:
        engine_count: engines of the model service.
        app_count: runners of the application service.
        options: command-line options of each engine's process.
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
    """Run a deployment with both of Kazvintage's documents in force.

    Args:
        wanted: the plan of the deployment.
        folder: folder for settings and logs.
        document_folder: folder of the documents to submit.
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
    """Write Kazvintage's example documents with other patiences.

    Args:
        folder: folder to write to.
        patiences_ms: maps each patience in the examples to its replacement.

    Returns:
        The parsed documents.
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
    """Wait until each daemon accepts the customer of both documents."""
    async with asyncio.timeout(READY_TIMEOUT_S):
        for vm_id in found.daemons:
            while (await complete(found, vm_id, "ready?", 1)).status != 200:
                await asyncio.sleep(POLL_S)
            while (await order(found, vm_id, "GET", "/stock", b"")).status == 401:
                await asyncio.sleep(POLL_S)


async def command(found: cluster.Cluster, *arguments: str) -> tuple[int, str]:
    """Run the operators' command-line tool against the first daemon.

    Returns:
        Its exit code, and its standard output and error as one text.
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
    """Send one customer request to one daemon.

    Raises:
        ConnectionError: if no complete response was received.
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
    """Return the JSON body of a completion request."""
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
    """Request a completion from one daemon."""
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
    """Send a request to the application service, an order if it has a key."""
    headers = (("Idempotency-Key", key),) if key else ()
    return await call(
        found, vm_id, method, f"/services/{APP_SERVICE}{path}", body, headers
    )

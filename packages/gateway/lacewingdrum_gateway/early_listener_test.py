import asyncio
import contextlib
import pathlib

from lacewingdrum_gateway import early_listener
from lacewingdrum_transport import http_messages, http_server
from standins import ports

REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"


def write_settings(folder: pathlib.Path, text: str) -> list[str]:
    path = folder / "gateway.toml"
    path.write_text(text)
    return ["start", early_listener.SETTINGS_FLAG, str(path)]


async def _answer(request, responder) -> None:
    await responder.send(http_messages.HttpResponse(200, (), b"served"))


async def serve_a_connection_made_before(listener) -> bytes:
    host, port = listener.getsockname()
    reader, writer = await asyncio.open_connection(host, port)
    writer.write(REQUEST)
    server = http_server.HttpServer(_answer)
    await server.start("", 0, listener)
    try:
        return await reader.read(-1)
    finally:
        writer.close()
        await server.close()


def test_connection_made_before_the_daemon_is_loaded_is_served(folder: pathlib.Path):
    picker = ports.PortPicker()
    address = f"127.0.0.1:{picker.next()}"
    text = f'[vm]\ncaller_address = "{address}"\n'
    listener = early_listener.open_listener(write_settings(folder, text))
    assert listener is not None
    with contextlib.closing(listener):
        answer = asyncio.run(serve_a_connection_made_before(listener))
    assert answer.endswith(b"served")
    picker.close()


def test_faulty_settings_are_left_to_the_daemon(folder: pathlib.Path):
    faulty = (
        "",
        "[vm",
        "vm = 1",
        "[vm]\ncaller_address = 7",
        '[vm]\ncaller_address = "nowhere"',
        '[vm]\ncaller_address = "127.0.0.1:99999999"',
        '[vm]\ncaller_address = "192.0.2.1:80"',
    )
    for text in faulty:
        arguments = write_settings(folder, text)
        assert early_listener.open_listener(arguments) is None, text
    assert early_listener.open_listener(["start"]) is None
    assert early_listener.open_listener(["start", "--settings", "/none"]) is None

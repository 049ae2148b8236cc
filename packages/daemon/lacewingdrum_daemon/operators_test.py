"""Tests of the handler of the operator port."""

import hashlib

import msgspec

from lacewingdrum_coordination import documents
from lacewingdrum_daemon import probes
from lacewingdrum_protocol import callers_api, operators_api
from lacewingdrum_runtime import metrics
from lacewingdrum_state import ids, states
from lacewingdrum_transport import http_messages
from tests import operator_fakes, pages

SERVICE = operator_fakes.SERVICE


def desk():
    made = operator_fakes.FakeOperatorPort()
    yield made


async def call(desk, method, path, message=None, token=operator_fakes.CREDENTIAL):
    body = msgspec.json.encode(message) if message is not None else b""
    return await desk.call(method, path, body, token)


async def test_wrong_credential_is_refused_before_anything_else(desk):
    for token in ("", "wrong", hashlib.sha256(b"x").hexdigest()):
        for path in ("/status", "/documents/reader", "/nothing"):
            response = await call(desk, "GET", path, token=token)
            assert response.status == 401
            assert response.header("Lacewingdrum-Ran") == "no"


async def test_health_needs_no_credential(desk):
    assert (await call(desk, "GET", "/healthz", token="")).status == 200
    assert (await call(desk, "GET", "/readyz", token="")).status == 200
    desk.not_ready = "leaving"
    response = await call(desk, "GET", "/readyz", token="")
    assert response.status == 503 and b"leaving" in response.body
    assert (await call(desk, "GET", "/metrics", token="")).status == 200


async def test_each_submit_result_has_its_status(desk):
    text = operator_fakes.document("one")
    stored = operator_fakes.stored(text, 1)
    results = {
        documents.Accepted(stored): (200, None),
        documents.Conflict(stored): (409, "conflict"),
        documents.Conflict(None): (409, "conflict"),
        documents.Unresolved(SERVICE, stored.version, stored.submission_id): (
            503,
            "unsettled",
        ),
        documents.Unavailable("down"): (503, "store_down"),
    }
    submit = operators_api.SubmitCall(text, 0, "sub-1")
    for result, (status, code) in results.items():
        desk.document_sync.result = result
        response = await call(desk, "POST", "/documents/reader", submit)
        assert response.status == status
        if code:
            answer = msgspec.json.decode(response.body, type=operators_api.ErrorAnswer)
            assert answer.error.code.value == code
        maybe = isinstance(result, documents.Unresolved)
        ran = states.Ran.MAYBE if maybe else states.Ran.NO
        assert status == 200 or response.header("Lacewingdrum-Ran") == ran.value


async def test_faulty_documents_are_not_submitted(desk):
    wrong = operator_fakes.document("one").replace("reader", "writer")
    for text in ("service = 1", wrong):
        submit = operators_api.SubmitCall(text, 0, "sub-1")
        response = await call(desk, "POST", "/documents/reader", submit)
        assert response.status == 422
        answer = msgspec.json.decode(response.body, type=operators_api.ErrorAnswer)
        assert answer.faults and answer.faults[0].line == 1
    for body in (b"", b"{", b'{"text": 3}', b"\xff"):
        response = await desk.call("POST", "/documents/reader", body)
        assert response.status == 400
    assert desk.document_sync.submissions == []


async def test_document_is_not_reported_absent_before_documents_are_known(desk):
    assert (await call(desk, "GET", "/documents/reader")).status == 404
    desk.document_sync.is_ready = False
    assert (await call(desk, "GET", "/documents/reader")).status == 503


async def test_earlier_versions_are_read_from_the_table(desk):
    for number in (1, 2):
        text = operator_fakes.document(f"text {number}")
        submit = operators_api.SubmitCall(text, number - 1, f"sub-{number}")
        await call(desk, "POST", "/documents/reader", submit)
    response = await desk.call("GET", "/documents/reader", query={"version": "1"})
    answer = msgspec.json.decode(response.body, type=operators_api.DocumentAnswer)
    assert answer.version == 1 and "text 1" in answer.text
    for version, status in (("9", 404), ("x", 400), ("٣", 400)):
        response = await desk.call(
            "GET", "/documents/reader", query={"version": version}
        )
        assert response.status == status


async def test_explain_returns_the_lines_of_a_request(desk):
    desk.record(ids.RequestId("req-1"))
    response = await call(desk, "GET", "/explain/req-1")
    answer = msgspec.json.decode(response.body, type=operators_api.ExplainAnswer)
    assert answer.lines[0]["event"] == "routed"
    assert (await call(desk, "GET", "/explain/req-2")).status == 404


async def test_probes_do_not_answer_other_paths():
    health = probes.Probes(lambda: "", metrics.Metrics())
    request = http_messages.HttpRequest("GET", "/other", {}, {}, b"", "")
    assert health.answer(request) is None


def test_page_lists_the_errors_that_callers_see():
    expected = {
        (code.value, str(status))
        for code, status in callers_api.HTTP_STATUS_BY_CODE.items()
    }
    listed = {row[:2] for row in pages.rows("Statuses") if row[0][0] != "/"}
    assert listed == expected

"""Tests of the commands against an in-process operator port."""

import json
import pathlib
import tempfile

from cleo.testers.application_tester import ApplicationTester

from lacewingdrum_cli import command_base, exit_codes, main
from lacewingdrum_coordination import documents
from lacewingdrum_protocol import operators_api
from lacewingdrum_state import fleet, ids
from tests import operator_fakes, pages

Exit = exit_codes.ExitCode
UNREACHABLE = fleet.Address("127.0.0.1", 1)


class Shell:
    """Runs command lines and returns their exit codes and output."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.operator_port = operator_fakes.FakeOperatorPort()
        self.http = operator_fakes.FakeHttp(self.operator_port)
        self.http.down.add(UNREACHABLE)
        self.file = folder / "reader.toml"
        self.environment = {
            "LACEWINGDRUM_DAEMONS": "127.0.0.1:1, 127.0.0.1:8082",
            "LACEWINGDRUM_CREDENTIAL": operator_fakes.CREDENTIAL,
        }

    def write(self, purpose: str) -> None:
        self.file.write_text(operator_fakes.document(purpose))

    def run(self, line: str) -> tuple[Exit, str]:
        application = main.create_application(self.environment, lambda: self.http)
        tester = ApplicationTester(application)
        code = tester.execute(line.replace("FILE", str(self.file)))
        return Exit(code), tester.io.fetch_output() + tester.io.fetch_error()


def shell():
    with tempfile.TemporaryDirectory() as name:
        yield Shell(pathlib.Path(name))


def test_check_needs_no_daemon_and_names_every_fault(shell):
    shell.environment.clear()
    shell.write("one")
    assert shell.run("check FILE")[0] is Exit.OK
    shell.file.write_text("service = 1\ncolour = 2\n")
    code, text = shell.run("check FILE")
    assert code is Exit.FAULTY
    assert "reader.toml:1: service: found 1; allowed: a name" in text
    assert "reader.toml:2: colour: found a key not known here" in text
    assert shell.run("check /absent.toml")[0] is Exit.USAGE
    assert shell.http.calls == []


def test_submit_with_wait_returns_once_the_document_is_in_force(shell):
    shell.write("one")
    code, text = shell.run("submit --wait FILE")
    assert code is Exit.OK
    assert "accepted as version 1" in text and "in force at 1 daemons" in text
    code, text = shell.run("submit FILE")
    assert code is Exit.OK and "version 1 has this text already" in text


def test_submit_retries_with_the_same_id_after_a_lost_reply(shell):
    shell.write("one")
    shell.http.lost_replies = 1
    code, text = shell.run("submit FILE --timeout-s 10")
    assert code is Exit.OK and "accepted as version 1" in text
    assert len(shell.operator_port.document_sync.versions) == 1
    assert len(set(shell.operator_port.document_sync.submissions)) == 1


def test_lost_reply_is_never_reported_as_not_accepted(shell):
    shell.write("one")
    shell.http.lost_replies = 1
    code, text = shell.run("submit FILE --timeout-s 0")
    assert code is Exit.UNSETTLED
    submission_id = shell.operator_port.document_sync.submissions[0]
    assert f"--base 0 --submission-id {submission_id}" in text
    code, text = shell.run(f"submit FILE --base 0 --submission-id {submission_id}")
    assert code is Exit.OK and "accepted as version 1" in text
    assert len(shell.operator_port.document_sync.versions) == 1


def test_unresolved_submit_exits_unsettled_and_unavailable_store_exits_store_down(
    shell,
):
    shell.write("one")
    shell.operator_port.document_sync.result = documents.Unresolved(
        operator_fakes.SERVICE, ids.DocumentVersion(1), ids.SubmissionId("x")
    )
    assert shell.run("submit FILE --timeout-s 0")[0] is Exit.UNSETTLED
    shell.operator_port.document_sync.result = documents.Unavailable("down")
    assert shell.run("submit FILE --timeout-s 0")[0] is Exit.STORE_DOWN


def test_conflict_shows_the_difference(shell):
    shell.write("one")
    shell.run("submit FILE")
    shell.write("two")
    code, text = shell.run("submit FILE --base 0")
    assert code is Exit.CONFLICT
    assert '-purpose = "one"' in text and '+purpose = "two"' in text
    assert len(shell.operator_port.document_sync.versions) == 1


def test_diff_and_show(shell):
    shell.write("one")
    assert shell.run("diff FILE")[0] is Exit.DIFFERS
    assert shell.run("show reader")[0] is Exit.NOT_FOUND
    shell.run("submit FILE")
    assert shell.run("diff FILE")[0] is Exit.OK
    code, text = shell.run("show reader")
    assert code is Exit.OK and 'purpose = "one"' in text
    assert json.loads(shell.run("show reader --json")[1])["version"] == 1
    assert shell.run("show reader --at 7")[0] is Exit.NOT_FOUND


def test_status_names_the_daemons(shell):
    shell.write("one")
    shell.run("submit FILE")
    code, text = shell.run("status")
    assert code is Exit.OK
    assert "reader: version 1" in text and "in force everywhere" in text
    answer = json.loads(shell.run("status --json")[1])
    assert answer["services"][0]["data_centres"][0]["confirmed"] == ["a"]


def test_explain_asks_daemons_or_reads_logs(shell):
    shell.operator_port.record(ids.RequestId("req-1"))
    code, text = shell.run("explain req-1")
    assert code is Exit.OK and "routed" in text
    assert shell.run("explain req-2")[0] is Exit.NOT_FOUND
    line = {"event": "sent", "request_id": "req-3", "vm_id": "b", "runner": "r"}
    shell.file.write_text("no json req-3\n" + json.dumps(line) + "\n")
    code, text = shell.run("explain req-3 --log FILE")
    assert code is Exit.OK and "handled by b" in text and "runner=r" in text
    assert shell.run("explain req-4 --log FILE")[0] is Exit.NOT_FOUND


def test_no_daemon_and_wrong_credential_have_their_exit_codes(shell):
    shell.write("one")
    assert shell.run("status --daemon 127.0.0.1:1")[0] is Exit.NO_DAEMON
    assert shell.run("submit FILE -d 127.0.0.1:1")[0] is Exit.NO_DAEMON
    shell.environment["LACEWINGDRUM_CREDENTIAL"] = "wrong"
    assert shell.run("status")[0] is Exit.CREDENTIAL
    shell.environment["LACEWINGDRUM_CREDENTIAL"] = ""
    assert shell.run("status")[0] is Exit.USAGE
    assert shell.run("status --daemon somewhere")[0] is Exit.USAGE


def test_operations_page_lists_the_exit_codes():
    expected = {(str(int(code)), code.name) for code in Exit}
    assert {row[:2] for row in pages.rows("Exit codes")} == expected


def test_operations_page_lists_the_operator_errors():
    expected = {
        (code.value, str(status), str(int(command_base.EXIT_CODE_BY_ERROR_CODE[code])))
        for code, status in operators_api.HTTP_STATUS_BY_CODE.items()
    }
    assert pages.rows("Operator errors") == expected
    assert set(operators_api.HTTP_STATUS_BY_CODE) == set(operators_api.ErrorCode)

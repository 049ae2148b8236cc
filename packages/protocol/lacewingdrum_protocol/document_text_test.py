"""Tests of the parser of service documents."""

import json
import os
import tomllib

from hypothesis import given, settings, strategies

from lacewingdrum_protocol import (
    document_keys,
    document_lines,
    document_text,
    toml_keys,
    toml_rules,
)
from lacewingdrum_state import states
from tests import collection, pages

FUZZ_EXAMPLES = int(os.environ.get("LACEWINGDRUM_FUZZ_EXAMPLES", "200"))
FUZZ = settings(
    max_examples=FUZZ_EXAMPLES, derandomize=True, deadline=None, database=None
)
EXAMPLES = sorted((collection.ROOT / "examples").glob("*.toml"))
DIGEST = "0" * 64
MODEL = f"""service = "reader"
service_type = "model"
model = "reader-large"
purpose = "Reads."

[[customers]]
customer = "one"
credential_sha256 = "{DIGEST}"

[[kinds]]
kind = "short"
max_prompt_tokens = 4000
patience_ms = 1000
"""


def errors_of(text: str) -> list[tuple[int, str]]:
    document, errors = document_text.parse(text)
    assert (document is None) == bool(errors)
    return [(error.line, error.key) for error in errors]


def test_example_documents_have_no_faults():
    assert len(EXAMPLES) == 4
    for path in EXAMPLES:
        document, errors = document_text.parse(path.read_text())
        assert not errors, (path, errors)
        assert document is not None and document.service == path.stem
        if document.service_type is states.ServiceType.APPLICATION:
            assert any(not kind.idempotent for kind in document.kinds)


def test_values_and_defaults_are_parsed():
    document, _ = document_text.parse(MODEL)
    assert document is not None
    assert document.kinds[0].patience_ms == 1000
    assert document.kinds[0].idempotent
    assert document.customers[0].share == 1.0
    assert document.weights.short_slowdown == 0.5


def test_each_fault_reports_its_line_and_key():
    text = MODEL.replace('"model"', '"engine"').replace("1000", "1")
    text = text.replace("[[kinds]]", 'share = -1\ncolour = """\n[x]\n"""\n[[kinds]]')
    assert errors_of(text) == [
        (2, "service_type"),
        (10, "customers[1].share"),
        (11, "customers[1].colour"),
        (17, "kinds[1].patience_ms"),
    ]


def test_missing_key_is_reported_at_the_line_of_its_table():
    text = MODEL.replace("patience_ms = 1000\n", "") + '[[kinds]]\nkind = "b"\n'
    assert errors_of(text) == [
        (10, "kinds[1].patience_ms"),
        (13, "kinds[2].patience_ms"),
    ]


def test_syntax_fault_reports_its_line():
    assert errors_of('service = "a"\nmodel = \n') == [(2, "")]
    assert errors_of('service = "a"\nmodel = """x') == [(2, "")]


def test_credential_digest_is_not_shown_in_a_fault():
    _, errors = document_text.parse(MODEL.replace(DIGEST, "demo-one"))
    assert [error.key for error in errors] == ["customers[1].credential_sha256"]
    assert "demo-one" not in str(errors[0])


def test_duplicate_customers_credentials_and_kinds_are_faults():
    customer = MODEL[MODEL.index("[[customers]]") : MODEL.index("[[kinds]]")]
    kind = MODEL[MODEL.index("[[kinds]]") :]
    keys = [key for _, key in errors_of(MODEL + customer + kind)]
    assert keys == [
        "customers[2].customer",
        "customers[2].credential_sha256",
        "kinds[2].kind",
        "kinds[2].max_prompt_tokens",
    ]


def test_non_idempotent_kind_of_a_model_is_a_fault():
    assert errors_of(MODEL + "idempotent = false\n") == [(14, "kinds[1].idempotent")]


def test_kind_shadowed_by_an_earlier_kind_is_a_fault():
    text = (collection.ROOT / "examples/vault-ledger.toml").read_text()
    hiding = '[[kinds]]\nkind = "any"\npatience_ms = 100\n\n[[kinds]]\nkind = "order"'
    text = text.replace('[[kinds]]\nkind = "order"', hiding)
    _, errors = document_text.parse(text)
    assert [error.key for error in errors] == ["kinds[2]", "kinds[3]"]


def test_faults_in_dotted_keys_and_tables_report_their_lines():
    text = MODEL.replace("[[customers]]", "weights.short_slowdown = 7\n[[customers]]")
    text += '[runners]\n"checks_fencing" = 1\n'
    assert errors_of(text) == [
        (6, "weights.short_slowdown"),
        (16, "runners.checks_fencing"),
    ]


def check_never_crashes(text: str) -> None:
    document, errors = document_text.parse(text)
    assert (document is None) == bool(errors)
    last = text.replace("\r\n", "\n").count("\n") + 1
    for error in errors:
        assert isinstance(error, document_text.DocumentError)
        assert 1 <= error.line <= last
        assert error.found and error.allowed


@FUZZ
@given(strategies.text(max_size=400))
def test_any_text_gives_typed_errors(text):
    check_never_crashes(text)


@FUZZ
@given(
    strategies.sampled_from([path.read_text() for path in EXAMPLES]),
    strategies.integers(0, 4000),
    strategies.integers(0, 300),
    strategies.one_of(
        strategies.text(max_size=20),
        strategies.sampled_from(["[[", "]", '"""', "'''", "= 9e999", "\x00", "{}"]),
    ),
)
def test_damaged_examples_give_typed_errors(text, start, length, inserted):
    check_never_crashes(text[:start] + inserted + text[start + length :])


NAMES = strategies.sampled_from(
    [key.name for keys in document_keys.TABLES.values() for key in keys]
    + list(document_keys.TABLES)
    + ["other", "a.b"]
)
LEAVES = strategies.one_of(
    strategies.booleans(),
    strategies.integers(-(2**70), 2**70),
    strategies.floats(),
    strategies.sampled_from(["model", "application", DIGEST, "name", "", "/"]),
    strategies.text(strategies.characters(codec="utf-8"), max_size=8),
)
VALUES = strategies.recursive(
    LEAVES,
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(NAMES, inner, max_size=4)
    ),
    max_leaves=12,
)


def inline(value: object) -> str:
    match value:
        case dict():
            pairs = (
                f"{json.dumps(key)} = {inline(item)}" for key, item in value.items()
            )
            return "{" + ", ".join(pairs) + "}"
        case list():
            return "[\n" + ",".join(inline(item) for item in value) + "\n]"
        case float():
            return repr(value)
        case str():
            text = json.dumps(value, ensure_ascii=False)
            return text.replace("\x7f", "\\u007f")
        case _:
            return json.dumps(value)


def toml(root: dict[str, object]) -> str:
    return "".join(f"{json.dumps(key)} = {inline(root[key])}\n" for key in root)


@FUZZ
@given(strategies.dictionaries(NAMES, VALUES, max_size=8))
def test_any_tables_give_typed_errors(root):
    text = toml(root)
    tomllib.loads(text)
    check_never_crashes(text)


@FUZZ
@given(strategies.dictionaries(NAMES, VALUES, max_size=8))
def test_located_lines_are_the_lines_of_the_keys(root):
    text = toml(root)
    locator = document_lines.locate(text)
    for key in root:
        line = text.split("\n")[locator.line((key,)) - 1]
        assert line.startswith(json.dumps(key) + " = ")


def test_page_lists_all_document_keys():
    expected = set()
    for table, keys in document_keys.TABLES.items():
        for key in keys:
            name = f"{table}.{key.name}" if table else key.name
            expected.add(
                (name, toml_keys.default_text(key), toml_rules.describe(key.rule))
            )
    assert pages.rows("Document keys") == expected

"""Parses the text of a service document and reports every fault in it."""

import dataclasses
import re
import tomllib
from collections.abc import Callable
from typing import Any

from lacewingdrum_protocol import (
    document_keys,
    document_lines,
    toml_keys,
    toml_rules,
)
from lacewingdrum_state import documents, states

TEXT_BYTES_MAX = 1_048_576
CUSTOMERS_MAX = 10_000
KINDS_MAX = 100


@dataclasses.dataclass(frozen=True, slots=True)
class DocumentError:
    """One fault: its line and key, what was found and what is allowed."""

    line: int
    key: str
    found: str
    allowed: str

    def __str__(self) -> str:
        where = f"line {self.line}: {self.key}" if self.key else f"line {self.line}"
        return f"{where}: found {self.found}; allowed: {self.allowed}"


def parse(
    text: str,
) -> tuple[documents.ServiceDocument | None, tuple[DocumentError, ...]]:
    """Parse a service document.

    Args:
        text: The document as TOML.

    Returns:
        The document and no errors, or None and all errors sorted by line.
    """
    size = len(text.encode("utf-8", "surrogatepass"))
    if size > TEXT_BYTES_MAX:
        allowed_text = f"at most {TEXT_BYTES_MAX} bytes"
        return None, (DocumentError(1, "", f"{size} bytes", allowed_text),)
    try:
        root = tomllib.loads(text)
    except (ValueError, RecursionError) as error:
        return None, (_syntax_error(text, error),)
    document, faults = _check(root)
    if not faults:
        return document, ()
    locator = document_lines.locate(text.replace("\r\n", "\n"))
    errors = [
        DocumentError(locator.line(fault.path), fault.key, fault.found, fault.allowed)
        for fault in faults
    ]
    return None, tuple(sorted(errors, key=lambda error: error.line))


def _syntax_error(text: str, error: Exception) -> DocumentError:
    message = str(error)
    position = re.search(r"at line (\d+)", message)
    line = int(position[1]) if position else 1
    if "at end of document" in message:
        line = text.rstrip().count("\n") + 1
    if isinstance(error, RecursionError):
        message = "values nested too deeply"
    return DocumentError(line, "", message, "TOML")


def _check(
    root: dict[str, Any],
) -> tuple[documents.ServiceDocument | None, list[toml_keys.Fault]]:
    top, faults = toml_keys.check_table(
        document_keys.TOP_KEYS, root, (), document_keys.SUB_TABLES
    )
    parts: dict[str, Any] = dict(top)
    for name, made in (
        ("weights", documents.Weights),
        ("runners", documents.RunnerOptions),
    ):
        parts[name], found = _sub_table(name, made, root.get(name, {}))
        faults.extend(found)
    for name, entry, max_count in (
        ("customers", documents.Customer, CUSTOMERS_MAX),
        ("kinds", documents.RequestKind, KINDS_MAX),
    ):
        parts[name], found = _entries(name, entry, max_count, root.get(name))
        faults.extend(found)
    if faults:
        return None, faults
    document = documents.ServiceDocument(**parts)
    faults = _cross_key_faults(document)
    return (None if faults else document), faults


def _sub_table(
    name: str, made: Callable[..., Any], found: object
) -> tuple[Any, list[toml_keys.Fault]]:
    values, faults = toml_keys.check_table(document_keys.TABLES[name], found, (name,))
    return (None if faults else made(**values)), faults


def _entries(
    name: str, entry: Callable[..., Any], max_count: int, found: object
) -> tuple[tuple, list[toml_keys.Fault]]:
    allowed_text = f"1 to {max_count} tables [[{name}]]"
    if not isinstance(found, list) or not 1 <= len(found) <= max_count:
        found_text = "nothing" if found is None else toml_rules.format_value(found)
        return (), [toml_keys.Fault((name,), found_text, allowed_text)]
    made: list[Any] = []
    faults: list[toml_keys.Fault] = []
    for index, table in enumerate(found):
        values, table_faults = toml_keys.check_table(
            document_keys.TABLES[name], table, (name, index)
        )
        faults.extend(table_faults)
        if not table_faults:
            made.append(entry(**values))
    return tuple(made), faults


def _cross_key_faults(document: documents.ServiceDocument) -> list[toml_keys.Fault]:
    """Return the faults in combinations of keys that are valid one by one."""
    faults = _duplicate_faults(
        "customers", "customer", [item.customer for item in document.customers]
    )
    digests = [item.credential_sha256 for item in document.customers]
    faults += _duplicate_faults("customers", "credential_sha256", digests)
    faults += _duplicate_faults("kinds", "kind", [item.kind for item in document.kinds])
    weights = document.weights
    if weights.time_to_first_token + weights.short_slowdown == 0:
        allowed_text = "at least one weight above 0"
        faults.append(toml_keys.Fault(("weights",), "both weights 0", allowed_text))
    if document.service_type is states.ServiceType.MODEL:
        return faults + _model_faults(document)
    return faults + _application_faults(document)


def _duplicate_faults(table: str, key: str, values: list) -> list[toml_keys.Fault]:
    faults = []
    for index, value in enumerate(values):
        if value in values[:index]:
            allowed_text = "a value that no earlier entry has"
            path = (table, index, key)
            faults.append(
                toml_keys.Fault(path, toml_rules.format_value(value), allowed_text)
            )
    return faults


def _model_faults(document: documents.ServiceDocument) -> list[toml_keys.Fault]:
    faults = []
    if not document.model:
        faults.append(toml_keys.Fault(("model",), "nothing", "a model's name"))
    longest = 0
    for index, kind in enumerate(document.kinds):
        if kind.max_prompt_tokens <= longest:
            allowed_text = f"more than {longest}, as kinds are tried in order"
            path = ("kinds", index, "max_prompt_tokens")
            faults.append(
                toml_keys.Fault(path, str(kind.max_prompt_tokens), allowed_text)
            )
        longest = max(longest, kind.max_prompt_tokens)
        if not kind.idempotent:
            allowed_text = "true, as orders go to an application"
            path = ("kinds", index, "idempotent")
            faults.append(toml_keys.Fault(path, "false", allowed_text))
        if kind.methods or kind.path_prefix != "/":
            allowed_text = "no methods and no path_prefix for a model"
            path = ("kinds", index, "methods" if kind.methods else "path_prefix")
            faults.append(toml_keys.Fault(path, "a rule for paths", allowed_text))
    return faults


def _application_faults(
    document: documents.ServiceDocument,
) -> list[toml_keys.Fault]:
    faults = []
    allowed_text = "nothing, as the service is an application"
    if document.model:
        found = toml_rules.format_value(document.model)
        faults.append(toml_keys.Fault(("model",), found, allowed_text))
    if document.runners.desired_model:
        found = toml_rules.format_value(document.runners.desired_model)
        faults.append(
            toml_keys.Fault(("runners", "desired_model"), found, allowed_text)
        )
    for index, kind in enumerate(document.kinds):
        if kind.max_prompt_tokens:
            path = ("kinds", index, "max_prompt_tokens")
            found = str(kind.max_prompt_tokens)
            faults.append(toml_keys.Fault(path, found, allowed_text))
        for earlier in document.kinds[:index]:
            if _shadows(earlier, kind):
                found_text = (
                    f"a kind that {toml_rules.format_value(earlier.kind)} takes all of"
                )
                hint = "the narrower kind first"
                faults.append(toml_keys.Fault(("kinds", index), found_text, hint))
                break
    return faults


def _shadows(earlier: documents.RequestKind, later: documents.RequestKind) -> bool:
    if not later.path_prefix.startswith(earlier.path_prefix):
        return False
    if not earlier.methods:
        return True
    return bool(later.methods) and set(later.methods) <= set(earlier.methods)

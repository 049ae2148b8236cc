"""Reads the text of a service document and finds every fault in it."""

import dataclasses
import re
import tomllib
from collections.abc import Callable
from typing import Any

from lacewingdrum_protocol import document_lines, toml_keys
from lacewingdrum_state import documents, states

TEXT_BYTES_MAX = 1_048_576
CUSTOMERS_MAX = 10_000
KINDS_MAX = 100
REQUIRED = toml_keys.REQUIRED

NAME = toml_keys.Text(
    r"[a-z0-9][a-z0-9._-]{0,62}",
    "a name of 1 to 63 lower-case letters, digits, dots, dashes, underscores",
)
MODEL_NAME = toml_keys.Text(
    r"[A-Za-z0-9][A-Za-z0-9._/:@-]{0,126}|", "a model's name, up to 127 characters"
)
PURPOSE = toml_keys.Text(
    r"(?s)(?=.*\S).{1,2000}", "a text of 1 to 2000 characters, not blank"
)
SHA256_HEX = toml_keys.Text(
    r"[0-9a-f]{64}", "a SHA-256 digest, 64 hex digits in lower case", secret=True
)
METHOD = toml_keys.Text(r"[A-Z]{1,16}", "an HTTP method in capitals")
PATH_PREFIX = toml_keys.Text(r"/[!-~]{0,254}", "a path that starts with /")

TOP_KEYS = (
    toml_keys.Key("service", NAME, REQUIRED, "the service's name"),
    toml_keys.Key(
        "service_type",
        toml_keys.Choice(states.ServiceType),
        REQUIRED,
        "whether a model or an application answers",
    ),
    toml_keys.Key("purpose", PURPOSE, REQUIRED, "what the service is for"),
    toml_keys.Key(
        "model", MODEL_NAME, "", "the model that callers name; required for a model"
    ),
)
WEIGHT_KEYS = (
    toml_keys.Key(
        "time_to_first_token",
        toml_keys.Number(0, 1),
        0.5,
        "weight of the time to first token over all lengths",
    ),
    toml_keys.Key(
        "short_slowdown",
        toml_keys.Number(0, 1),
        0.5,
        "weight of short requests not being slowed down by long ones",
    ),
)
RUNNER_KEYS = (
    toml_keys.Key(
        "checks_fencing",
        toml_keys.Flag(),
        False,
        "whether the runners refuse an order with an old fencing number",
    ),
    toml_keys.Key(
        "desired_model",
        MODEL_NAME,
        "",
        "the model version to place on each runner; empty orders nothing",
    ),
)
CUSTOMER_KEYS = (
    toml_keys.Key("customer", NAME, REQUIRED, "the customer's name"),
    toml_keys.Key(
        "credential_sha256", SHA256_HEX, REQUIRED, "digest of the customer's token"
    ),
    toml_keys.Key(
        "share",
        toml_keys.Number(0.001, 1_000),
        1.0,
        "weight against other customers when they compete",
    ),
    toml_keys.Key(
        "limit_tokens_per_s",
        toml_keys.Whole(0, 1_000_000_000),
        0,
        "tokens a second at most; 0 is no limit",
    ),
    toml_keys.Key(
        "limit_requests_per_s",
        toml_keys.Number(0, 1_000_000),
        0.0,
        "requests a second at most; 0 is no limit",
    ),
)
KIND_KEYS = (
    toml_keys.Key("kind", NAME, REQUIRED, "the kind's name"),
    toml_keys.Key(
        "patience_ms",
        toml_keys.Whole(10, 86_400_000),
        REQUIRED,
        "within this time a request finishes or fails",
    ),
    toml_keys.Key(
        "worth",
        toml_keys.Number(0, 1_000_000),
        1.0,
        "worth of one completed request; the least is refused first",
    ),
    toml_keys.Key(
        "idempotent",
        toml_keys.Flag(),
        True,
        "false for an order, which is carried out at most once",
    ),
    toml_keys.Key(
        "max_prompt_tokens",
        toml_keys.Whole(0, 100_000_000),
        0,
        "longest prompt of this kind; required for a model",
    ),
    toml_keys.Key(
        "methods",
        toml_keys.TextList(METHOD),
        (),
        "HTTP methods of this kind; none means any; only for an application",
    ),
    toml_keys.Key(
        "path_prefix",
        PATH_PREFIX,
        "/",
        "start of the paths of this kind; only for an application",
    ),
)
TABLES: dict[str, tuple[toml_keys.Key, ...]] = {
    "": TOP_KEYS,
    "weights": WEIGHT_KEYS,
    "runners": RUNNER_KEYS,
    "customers": CUSTOMER_KEYS,
    "kinds": KIND_KEYS,
}
SUB_TABLES = tuple(name for name in TABLES if name)


@dataclasses.dataclass(frozen=True, slots=True)
class DocumentError:
    """One fault: line, key, what was found, what is allowed."""

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
    """Read a service document.

    Args:
        text: TOML.

    Returns:
        The document and no error, or None and every error by line.
    """
    size = len(text.encode("utf-8", "surrogatepass"))
    if size > TEXT_BYTES_MAX:
        words = f"at most {TEXT_BYTES_MAX} bytes"
        return None, (DocumentError(1, "", f"{size} bytes", words),)
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
    top, faults = toml_keys.check_table(TOP_KEYS, root, (), SUB_TABLES)
    parts: dict[str, Any] = dict(top)
    for name, made in (
        ("weights", documents.Weights),
        ("runners", documents.RunnerRules),
    ):
        parts[name], found = _sub_table(name, made, root.get(name, {}))
        faults.extend(found)
    for name, entry, most in (
        ("customers", documents.Customer, CUSTOMERS_MAX),
        ("kinds", documents.RequestKind, KINDS_MAX),
    ):
        parts[name], found = _entries(name, entry, most, root.get(name))
        faults.extend(found)
    if faults:
        return None, faults
    document = documents.ServiceDocument(**parts)
    faults = _across(document)
    return (None if faults else document), faults


def _sub_table(
    name: str, made: Callable[..., Any], found: object
) -> tuple[Any, list[toml_keys.Fault]]:
    values, faults = toml_keys.check_table(TABLES[name], found, (name,))
    return (None if faults else made(**values)), faults


def _entries(
    name: str, entry: Callable[..., Any], most: int, found: object
) -> tuple[tuple, list[toml_keys.Fault]]:
    words = f"1 to {most} tables [[{name}]]"
    if not isinstance(found, list) or not 1 <= len(found) <= most:
        seen = "nothing" if found is None else toml_keys.shown(found)
        return (), [toml_keys.Fault((name,), seen, words)]
    made: list[Any] = []
    faults: list[toml_keys.Fault] = []
    for index, table in enumerate(found):
        values, wrong = toml_keys.check_table(TABLES[name], table, (name, index))
        faults.extend(wrong)
        if not wrong:
            made.append(entry(**values))
    return tuple(made), faults


def _across(document: documents.ServiceDocument) -> list[toml_keys.Fault]:
    """Returns: faults between keys that are each allowed by themselves."""
    faults = _repeated(
        "customers", "customer", [item.customer for item in document.customers]
    )
    digests = [item.credential_sha256 for item in document.customers]
    faults += _repeated("customers", "credential_sha256", digests)
    faults += _repeated("kinds", "kind", [item.kind for item in document.kinds])
    weights = document.weights
    if weights.time_to_first_token + weights.short_slowdown == 0:
        words = "at least one weight above 0"
        faults.append(toml_keys.Fault(("weights",), "both weights 0", words))
    if document.service_type is states.ServiceType.MODEL:
        return faults + _model_faults(document)
    return faults + _application_faults(document)


def _repeated(table: str, key: str, values: list) -> list[toml_keys.Fault]:
    faults = []
    for index, value in enumerate(values):
        if value in values[:index]:
            words = "a value that no earlier entry has"
            path = (table, index, key)
            faults.append(toml_keys.Fault(path, toml_keys.shown(value), words))
    return faults


def _model_faults(document: documents.ServiceDocument) -> list[toml_keys.Fault]:
    faults = []
    if not document.model:
        faults.append(toml_keys.Fault(("model",), "nothing", "a model's name"))
    longest = 0
    for index, kind in enumerate(document.kinds):
        if kind.max_prompt_tokens <= longest:
            words = f"more than {longest}, as kinds are tried in order"
            path = ("kinds", index, "max_prompt_tokens")
            faults.append(toml_keys.Fault(path, str(kind.max_prompt_tokens), words))
        longest = max(longest, kind.max_prompt_tokens)
        if not kind.idempotent:
            words = "true, as orders go to an application"
            path = ("kinds", index, "idempotent")
            faults.append(toml_keys.Fault(path, "false", words))
        if kind.methods or kind.path_prefix != "/":
            words = "no methods and no path_prefix for a model"
            path = ("kinds", index, "methods" if kind.methods else "path_prefix")
            faults.append(toml_keys.Fault(path, "a rule for paths", words))
    return faults


def _application_faults(
    document: documents.ServiceDocument,
) -> list[toml_keys.Fault]:
    faults = []
    words = "nothing, as the service is an application"
    if document.model:
        found = toml_keys.shown(document.model)
        faults.append(toml_keys.Fault(("model",), found, words))
    if document.runners.desired_model:
        found = toml_keys.shown(document.runners.desired_model)
        faults.append(toml_keys.Fault(("runners", "desired_model"), found, words))
    for index, kind in enumerate(document.kinds):
        if kind.max_prompt_tokens:
            path = ("kinds", index, "max_prompt_tokens")
            found = str(kind.max_prompt_tokens)
            faults.append(toml_keys.Fault(path, found, words))
        for earlier in document.kinds[:index]:
            if _hides(earlier, kind):
                seen = f"a kind that {toml_keys.shown(earlier.kind)} takes all of"
                hint = "the narrower kind first"
                faults.append(toml_keys.Fault(("kinds", index), seen, hint))
                break
    return faults


def _hides(earlier: documents.RequestKind, later: documents.RequestKind) -> bool:
    if not later.path_prefix.startswith(earlier.path_prefix):
        return False
    if not earlier.methods:
        return True
    return bool(later.methods) and set(later.methods) <= set(earlier.methods)

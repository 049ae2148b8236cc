"""Defines the keys of service documents, with their rules and defaults."""

from lacewingdrum_protocol import toml_keys, toml_rules
from lacewingdrum_state import states

REQUIRED = toml_keys.REQUIRED

NAME = toml_rules.Text(
    r"[a-z0-9][a-z0-9._-]{0,62}",
    "a name of 1 to 63 lower-case letters, digits, dots, dashes, underscores",
)
MODEL_NAME = toml_rules.Text(
    r"[A-Za-z0-9][A-Za-z0-9._/:@-]{0,126}|", "a model's name, up to 127 characters"
)
PURPOSE = toml_rules.Text(
    r"(?s)(?=.*\S).{1,2000}", "a text of 1 to 2000 characters, not blank"
)
SHA256_HEX = toml_rules.Text(
    r"[0-9a-f]{64}", "a SHA-256 digest, 64 hex digits in lower case", secret=True
)
METHOD = toml_rules.Text(r"[A-Z]{1,16}", "an HTTP method in capitals")
PATH_PREFIX = toml_rules.Text(r"/[!-~]{0,254}", "a path that starts with /")

TOP_KEYS = (
    toml_keys.Key("service", NAME, REQUIRED, "the service's name"),
    toml_keys.Key(
        "service_type",
        toml_rules.Choice(states.ServiceType),
        REQUIRED,
        "whether a model or an application answers",
    ),
    toml_keys.Key("purpose", PURPOSE, REQUIRED, "what the service is for"),
    toml_keys.Key(
        "model",
        MODEL_NAME,
        "",
        "the model name that callers send; required for a model",
    ),
)
WEIGHT_KEYS = (
    toml_keys.Key(
        "time_to_first_token",
        toml_rules.Number(0, 1),
        0.5,
        "weight of the time to first token over all lengths",
    ),
    toml_keys.Key(
        "short_slowdown",
        toml_rules.Number(0, 1),
        0.5,
        "weight of the slowdown of short requests by long ones",
    ),
)
RUNNER_KEYS = (
    toml_keys.Key(
        "checks_fencing",
        toml_rules.Flag(),
        False,
        "whether the runners refuse an order with an old fencing number",
    ),
    toml_keys.Key(
        "desired_model",
        MODEL_NAME,
        "",
        "the model version to place on each runner; empty: no placement",
    ),
)
CUSTOMER_KEYS = (
    toml_keys.Key("customer", NAME, REQUIRED, "the customer's name"),
    toml_keys.Key(
        "credential_sha256", SHA256_HEX, REQUIRED, "digest of the customer's token"
    ),
    toml_keys.Key(
        "share",
        toml_rules.Number(0.001, 1_000),
        1.0,
        "weight against other customers when they compete",
    ),
    toml_keys.Key(
        "limit_tokens_per_s",
        toml_rules.Integer(0, 1_000_000_000),
        0,
        "tokens a second at most; 0 is no limit",
    ),
    toml_keys.Key(
        "limit_requests_per_s",
        toml_rules.Number(0, 1_000_000),
        0.0,
        "requests a second at most; 0 is no limit",
    ),
)
KIND_KEYS = (
    toml_keys.Key("kind", NAME, REQUIRED, "the kind's name"),
    toml_keys.Key(
        "patience_ms",
        toml_rules.Integer(10, 86_400_000),
        REQUIRED,
        "time within which a request finishes or fails",
    ),
    toml_keys.Key(
        "worth",
        toml_rules.Number(0, 1_000_000),
        1.0,
        "worth of one completed request; the lowest is refused first",
    ),
    toml_keys.Key(
        "idempotent",
        toml_rules.Flag(),
        True,
        "false for an order, which is carried out at most once",
    ),
    toml_keys.Key(
        "max_prompt_tokens",
        toml_rules.Integer(0, 100_000_000),
        0,
        "longest prompt of this kind; required for a model",
    ),
    toml_keys.Key(
        "methods",
        toml_rules.TextList(METHOD),
        (),
        "HTTP methods of this kind; empty means any; only for an application",
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

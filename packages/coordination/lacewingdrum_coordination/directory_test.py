"""Tests the lookup of customers, kinds and patience."""

import hashlib

from hypothesis import given, settings, strategies as st

from lacewingdrum_coordination import directory
from lacewingdrum_state import documents, ids, states

FIXED = settings(derandomize=True, deadline=None, database=None)
KIND = documents.RequestKind(ids.KindName("short"), 5_000, max_prompt_tokens=4_000)
LONG = documents.RequestKind(ids.KindName("long"), 9_000, max_prompt_tokens=9_000)
READ = documents.RequestKind(
    ids.KindName("read"), 1_000, methods=("GET",), path_prefix="/bottles"
)


def document(name, customers=(), kinds=(KIND, LONG)):
    return documents.ServiceDocument(
        ids.ServiceName(name),
        states.ServiceType.MODEL,
        "",
        customers,
        kinds,
        model="m",
    )


def test_customers_are_found_only_in_their_service():
    digest = hashlib.sha256(b"token").hexdigest()
    customer = documents.Customer(ids.CustomerId("c"), digest)
    built = directory.build([document("b", (customer,)), document("a")])
    found = directory.credential_sha256("Bearer token")
    assert found in built.credentials
    assert built.customers[ids.ServiceName("b"), found] is customer
    assert (ids.ServiceName("a"), found) not in built.customers
    assert built.by_model["m"] == "a"


def test_kind_is_found_by_prompt_length_or_by_path():
    found = document("a")
    assert directory.prompt_kind(found, 4_000) is KIND
    assert directory.prompt_kind(found, 4_001) is LONG
    assert directory.prompt_kind(found, 9_001) is None
    app = document("b", kinds=(READ,))
    assert directory.call_kind(app, "GET", "/bottles/1") is READ
    assert directory.call_kind(app, "POST", "/bottles/1") is None


@FIXED
@given(st.text(max_size=15))
def test_a_caller_can_only_lower_the_patience(requested):
    found = directory.patience_ms(KIND, requested)
    assert found is None or 1 <= found <= KIND.patience_ms


@FIXED
@given(st.text(max_size=40))
def test_any_authorization_header_is_read(header):
    found = directory.credential_sha256(header)
    assert found is None or len(found) == 64

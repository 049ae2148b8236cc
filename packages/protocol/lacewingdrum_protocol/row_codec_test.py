"""Tests of the row codec."""

import hypothesis
from hypothesis import strategies
from result import Err, Ok

from lacewingdrum_protocol import row_codec
from lacewingdrum_state import documents, ids, leases, orders, states

ORDER_ID = orders.OrderId(
    ids.ServiceName("vault-ledger"),
    ids.CustomerId("a/b"),
    ids.IdempotencyKey("k é"),
)


def test_rows_round_trip():
    order = orders.OrderRow(
        ORDER_ID,
        states.OrderState.ANSWERED,
        ids.AttemptId("r.1"),
        "ff",
        orders.OrderAnswer(200, "text/plain", b"\x00\xff"),
    )
    document = documents.StoredDocument(
        ids.ServiceName("s"),
        ids.DocumentVersion(3),
        ids.SubmissionId("sub"),
        "digest",
        "text",
    )
    lease = leases.LeaseRow(ids.VmId("vm"), ids.FencingNumber(2), 9)
    assert row_codec.decode_order(row_codec.encode(order)) == Ok(order)
    assert row_codec.decode_document(row_codec.encode(document)) == Ok(document)
    assert row_codec.decode_lease(row_codec.encode(lease)) == Ok(lease)


def test_keys_escape_separators_and_sort_by_version():
    other_order_id = orders.OrderId(
        ids.ServiceName("vault-ledger/a"),
        ids.CustomerId("b"),
        ids.IdempotencyKey("k é"),
    )
    assert row_codec.order_key(ORDER_ID) != row_codec.order_key(other_order_id)
    service = ids.ServiceName("s/1")
    ninth = row_codec.document_key(service, ids.DocumentVersion(9))
    tenth = row_codec.document_key(service, ids.DocumentVersion(10))
    assert ninth.key < tenth.key
    assert row_codec.service_of_index(row_codec.index_key(service)) == service


@hypothesis.settings(derandomize=True, deadline=None, database=None)
@hypothesis.given(strategies.binary(max_size=200))
def test_any_bytes_give_a_value_or_a_typed_error(data):
    for decode in (
        row_codec.decode_order,
        row_codec.decode_document,
        row_codec.decode_lease,
    ):
        outcome = decode(data)
        assert isinstance(outcome, (Ok, Err))

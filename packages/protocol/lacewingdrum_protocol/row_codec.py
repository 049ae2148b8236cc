"""Values of the platform table's rows: msgpack maps with named fields.

Names rather than positions, and unknown fields passed over, so that daemons
of two versions can share the table while VMs are replaced.
"""

import urllib.parse
from typing import TypeVar

import msgspec
from result import Err, Ok, Result

from lacewingdrum_state import documents, ids, leases, orders, rows

ORDER_TABLE = "orders"
DOCUMENT_TABLE = "documents"
DOCUMENT_INDEX_TABLE = "document_index"
LEASE_TABLE = "leases"
VERSION_DIGITS = 12

T = TypeVar("T")


class RowError(msgspec.Struct, frozen=True):
    """Why the bytes of a row were not the value expected."""

    reason: str


_encoder = msgspec.msgpack.Encoder()
_order_decoder = msgspec.msgpack.Decoder(orders.OrderRow)
_document_decoder = msgspec.msgpack.Decoder(documents.StoredDocument)
_lease_decoder = msgspec.msgpack.Decoder(leases.LeaseRow)


def order_key(order_id: orders.OrderId) -> rows.RowKey:
    """Args: order_id: the order. Returns: the key of its row."""
    parts = (order_id.service, order_id.customer, order_id.key)
    return rows.RowKey(ORDER_TABLE, "/".join(_quoted(part) for part in parts))


def document_key(service: ids.ServiceName, version: ids.DocumentVersion) -> rows.RowKey:
    """Returns: the key of one version; keys sort as the versions do."""
    return rows.RowKey(
        DOCUMENT_TABLE, f"{_quoted(service)}/{version:0{VERSION_DIGITS}d}"
    )


def index_key(service: ids.ServiceName) -> rows.RowKey:
    """Returns: the key of the row that says that a service exists."""
    return rows.RowKey(DOCUMENT_INDEX_TABLE, _quoted(service))


def service_of_index(key: rows.RowKey) -> ids.ServiceName:
    """Args: key: made by ``index_key``. Returns: its service."""
    return ids.ServiceName(urllib.parse.unquote(key.key))


def lease_key(service: ids.ServiceName) -> rows.RowKey:
    """Returns: the key of a service's placement lease."""
    return rows.RowKey(LEASE_TABLE, "placement/" + _quoted(service))


def encode(
    value: orders.OrderRow | documents.StoredDocument | leases.LeaseRow,
) -> bytes:
    """Args: value: what the row says. Returns: its bytes."""
    return _encoder.encode(value)


def decode_order(data: bytes) -> Result[orders.OrderRow, RowError]:
    """Args: data: a row's value. Returns: the order, or why there is none."""
    return _decode(_order_decoder, data)


def decode_document(data: bytes) -> Result[documents.StoredDocument, RowError]:
    """Args: data: a row's value. Returns: the version, or why none."""
    return _decode(_document_decoder, data)


def decode_lease(data: bytes) -> Result[leases.LeaseRow, RowError]:
    """Args: data: a row's value. Returns: the lease, or why there is none."""
    return _decode(_lease_decoder, data)


def _decode(decoder: "msgspec.msgpack.Decoder[T]", data: bytes) -> Result[T, RowError]:
    try:
        return Ok(decoder.decode(data))
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        return Err(RowError(str(error)))


def _quoted(part: str) -> str:
    return urllib.parse.quote(part, safe="")

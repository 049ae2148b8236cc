"""Encodes and decodes the rows of the platform's table as msgpack maps.

Fields are stored by name and unknown fields are ignored, so that daemons of
two versions can share the table while VMs are replaced.
"""

import urllib.parse
from typing import TypeVar

import msgspec
from result import Result

from lacewingdrum_state import decoding, documents, ids, leases, orders, rows

ORDER_TABLE = "orders"
DOCUMENT_TABLE = "documents"
DOCUMENT_INDEX_TABLE = "document_index"
LEASE_TABLE = "leases"
VERSION_DIGITS = 12

T = TypeVar("T")


class RowError(msgspec.Struct, frozen=True):
    """Why the value of a row could not be decoded."""

    reason: str


_encoder = msgspec.msgpack.Encoder()
_order_decoder = msgspec.msgpack.Decoder(orders.OrderRow)
_document_decoder = msgspec.msgpack.Decoder(documents.StoredDocument)
_lease_decoder = msgspec.msgpack.Decoder(leases.LeaseRow)


def order_key(order_id: orders.OrderId) -> rows.RowKey:
    """Return the key of an order's row."""
    parts = (order_id.service, order_id.customer, order_id.key)
    return rows.RowKey(ORDER_TABLE, "/".join(_quoted(part) for part in parts))


def document_key(service: ids.ServiceName, version: ids.DocumentVersion) -> rows.RowKey:
    """Return the key of one version; keys sort in the order of versions."""
    return rows.RowKey(
        DOCUMENT_TABLE, f"{_quoted(service)}/{version:0{VERSION_DIGITS}d}"
    )


def index_key(service: ids.ServiceName) -> rows.RowKey:
    """Return the key of the row that records that a service exists."""
    return rows.RowKey(DOCUMENT_INDEX_TABLE, _quoted(service))


def service_of_index(key: rows.RowKey) -> ids.ServiceName:
    """Return the service of a key made by ``index_key``."""
    return ids.ServiceName(urllib.parse.unquote(key.key))


def lease_key(service: ids.ServiceName) -> rows.RowKey:
    """Return the key of a service's placement lease."""
    return rows.RowKey(LEASE_TABLE, "placement/" + _quoted(service))


def encode(
    value: orders.OrderRow | documents.StoredDocument | leases.LeaseRow,
) -> bytes:
    """Return the encoded value of a row."""
    return _encoder.encode(value)


def decode_order(data: bytes) -> Result[orders.OrderRow, RowError]:
    """Decode an order from a row's value."""
    return _decode(_order_decoder, data)


def decode_document(data: bytes) -> Result[documents.StoredDocument, RowError]:
    """Decode a document version from a row's value."""
    return _decode(_document_decoder, data)


def decode_lease(data: bytes) -> Result[leases.LeaseRow, RowError]:
    """Decode a lease from a row's value."""
    return _decode(_lease_decoder, data)


def _decode(decoder: "msgspec.msgpack.Decoder[T]", data: bytes) -> Result[T, RowError]:
    return decoding.decode(decoder, data).map_err(RowError)


def _quoted(part: str) -> str:
    return urllib.parse.quote(part, safe="")

"""Identifies requests that are the same, whoever repeats them."""

import hashlib

from lacewingdrum_state import ids

DIGEST_BYTES = 8


def compute(
    method: str, host: str, target: str, customer: str, body: bytes
) -> ids.RequestFingerprint:
    """Return what all copies of a request have in common.

    Args:
        method: the HTTP method; a read and a write differ.
        host: the host that was asked, in any case.
        target: the path with its query.
        customer: the name of the customer, empty for public routes.
        body: the whole body.

    Returns:
        A hash; customers cannot choose requests with the one of another.
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for field in (method, host.lower(), target, customer):
        digest.update(f"{len(field)}:{field}".encode())
    digest.update(body)
    return ids.RequestFingerprint(digest.hexdigest())

"""IP addresses with ports."""

import dataclasses
import functools
import ipaddress
import re

PORT_MAX = 65_535
# Longer texts are no address.
TEXT_MAX = 80
# The same addresses are read again with each list of runners.
CACHE_ADDRESSES = 4_096
_THIS_NETWORK = ipaddress.ip_network("0.0.0.0/8")


@dataclasses.dataclass(frozen=True, slots=True)
class Address:
    """An IP address and port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


def parse_address(text: str) -> Address | None:
    """Parse ``ip:port``; return None if ``text`` is not of this form.

    All forms of an IP address give the same address.
    """
    return _parse(text.strip()) if len(text) <= TEXT_MAX else None


@functools.lru_cache(maxsize=CACHE_ADDRESSES)
def _parse(text: str) -> Address | None:
    host, colon, port = text.rpartition(":")
    host = host.removeprefix("[").removesuffix("]")
    ip = _parse_ip(host)
    if not colon or ip is None:
        return None
    if not re.fullmatch(r"[0-9]{1,5}", port, re.ASCII):
        return None
    if not 1 <= int(port) <= PORT_MAX:
        return None
    return Address(str(ip), int(port))


def is_ip(text: str) -> bool:
    """Return whether ``text`` is an IP address."""
    return _parse_ip(text) is not None


@functools.lru_cache(maxsize=CACHE_ADDRESSES)
def is_unicast(address: Address) -> bool:
    """Return whether the address can be that of one machine."""
    ip = _parse_ip(address.host)
    if isinstance(ip, ipaddress.IPv4Address):
        return not (ip in _THIS_NETWORK or ip.is_multicast or ip.is_reserved)
    # A scope names an interface of the machine that wrote it.
    return ip is not None and not (
        ip.is_unspecified or ip.is_multicast or ip.scope_id is not None
    )


def _parse_ip(text: str) -> ipaddress.IPv4Address | ipaddress.IPv6Address | None:
    try:
        ip = ipaddress.ip_address(text)
    except ValueError:
        return None
    if isinstance(ip, ipaddress.IPv6Address) and ip.ipv4_mapped is not None:
        return ip.ipv4_mapped
    return ip

"""IP addresses with ports."""

import dataclasses
import ipaddress
import re

PORT_MAX = 65_535


@dataclasses.dataclass(frozen=True, slots=True)
class Address:
    """An IP address and port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


def parse_address(text: str) -> Address | None:
    """Parse ``ip:port``; return None if ``text`` is not of this form."""
    host, colon, port = text.strip().rpartition(":")
    host = host.removeprefix("[").removesuffix("]")
    if not colon or not is_ip(host):
        return None
    if not re.fullmatch(r"[0-9]{1,5}", port, re.ASCII):
        return None
    if not 1 <= int(port) <= PORT_MAX:
        return None
    return Address(host, int(port))


def is_ip(text: str) -> bool:
    """Return whether ``text`` is an IP address."""
    try:
        ipaddress.ip_address(text)
    except ValueError:
        return False
    return True

"""Opens TCP connections."""

import asyncio
from collections.abc import Awaitable, Callable

from lacewingdrum_state import fleet

# Connects a new protocol to an address, or raises OSError.
Connect = Callable[
    [Callable[[], asyncio.Protocol], fleet.Address], Awaitable[asyncio.Protocol]
]


async def connect(
    new_protocol: Callable[[], asyncio.Protocol], address: fleet.Address
) -> asyncio.Protocol:
    """Connect a new protocol to an address and return it.

    Raises:
        OSError: if the address cannot be reached or refuses the connection.
    """
    loop = asyncio.get_running_loop()
    _, protocol = await loop.create_connection(new_protocol, address.host, address.port)
    return protocol

"""The state of the protocol on a connection of a server."""

import h11


class ServerConnection(h11.Connection):
    """The server's side of a connection, which knows what an answer may have.

    ``allows_body`` is False while the request is a HEAD request.

    Args:
        header_bytes: the limit for the head of a request.
    """

    def __init__(self, header_bytes: int) -> None:
        super().__init__(h11.SERVER, max_incomplete_event_size=header_bytes)
        self.allows_body = True

    def next_event(self) -> h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]:
        """Return the next event, as h11 does."""
        event = super().next_event()
        if isinstance(event, h11.Request):
            self.allows_body = event.method != b"HEAD"
        return event

    def start_next_cycle(self) -> None:
        """Be ready for the next request, as in h11."""
        super().start_next_cycle()
        self.allows_body = True

"""Client of the platform's membership list."""

import dataclasses
import enum

import msgspec
from result import Err, Ok, Result

from lacewingdrum_protocol import members_api
from lacewingdrum_state import decoding, fleet
from lacewingdrum_transport import http_client, http_messages

_decoder = msgspec.json.Decoder(members_api.MembersAnswer)


class MembersErrorReason(enum.Enum):
    """Why the membership list could not be read."""

    UNAVAILABLE = "unavailable"
    MALFORMED = "malformed"


@dataclasses.dataclass(frozen=True, slots=True)
class MembersError:
    """Why the membership list could not be read."""

    reason: MembersErrorReason
    detail: str


class MembersClient:
    """Reads the membership list."""

    def __init__(
        self, http: http_client.HttpClient, address: fleet.Address, timeout_s: float
    ) -> None:
        self._http = http
        self._address = address
        self._timeout_s = timeout_s

    async def read(self) -> Result[fleet.Members, MembersError]:
        """Return the platform's current list, or why it could not be read."""
        answer = await self._http.request(
            self._address, "GET", members_api.MEMBERS_PATH, timeout_s=self._timeout_s
        )
        if isinstance(answer, Err):
            error = answer.err_value
            detail = f"{error.reason.value} {error.detail}"
            return Err(MembersError(MembersErrorReason.UNAVAILABLE, detail))
        response = answer.ok_value
        if response.status != http_messages.STATUS_OK:
            detail = f"status {response.status}"
            return Err(MembersError(MembersErrorReason.UNAVAILABLE, detail))
        decoded = decoding.decode(_decoder, response.body)
        if isinstance(decoded, Err):
            detail = decoded.err_value
            return Err(MembersError(MembersErrorReason.MALFORMED, detail))
        return Ok(members_api.members_from(decoded.ok_value))

"""Client of the platform's object store: ``PUT`` and ``GET /objects/KEY``."""

import dataclasses
import enum
import urllib.parse

from result import Err, Ok, Result

from lacewingdrum_state import fleet
from lacewingdrum_transport import http_client, http_messages

OBJECTS_PATH = "/objects/"
STATUS_NOT_FOUND = 404
# A call with this answer is treated as not applied.
STATUS_NOT_APPLIED = 503


class ObjectsErrorReason(enum.Enum):
    """Why a call failed, and whether it may have been applied."""

    NOT_FOUND = "not_found"
    NOT_APPLIED = "not_applied"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True)
class ObjectsError:
    """Why a call of the object store failed."""

    reason: ObjectsErrorReason
    detail: str


class ObjectsClient:
    """Stores and reads complete objects."""

    def __init__(
        self, http: http_client.HttpClient, address: fleet.Address, timeout_s: float
    ) -> None:
        self._http = http
        self._address = address
        self._timeout_s = timeout_s

    async def put(self, key: str, data: bytes) -> Result[None, ObjectsError]:
        """Store an object; the call is idempotent.

        Args:
            key: the key of the object.
            data: the complete content.

        Returns:
            ``None`` if the object was stored, otherwise an error.
        """
        answer = await self._call("PUT", key, data)
        return answer if isinstance(answer, Err) else Ok(None)

    async def get(self, key: str) -> Result[bytes, ObjectsError]:
        """Read an object.

        Args:
            key: the key of the object.

        Returns:
            The complete content, or why it could not be read.
        """
        return await self._call("GET", key, b"")

    async def _call(
        self, method: str, key: str, data: bytes
    ) -> Result[bytes, ObjectsError]:
        path = OBJECTS_PATH + urllib.parse.quote(key, safe="")
        answer = await self._http.request(
            self._address, method, path, (), data, self._timeout_s
        )
        if isinstance(answer, Err):
            error = answer.err_value
            detail = f"{error.reason.value} {error.detail}"
            if error.may_have_been_sent:
                return Err(ObjectsError(ObjectsErrorReason.UNKNOWN, detail))
            return Err(ObjectsError(ObjectsErrorReason.NOT_APPLIED, detail))
        response = answer.ok_value
        if http_messages.is_success(response.status):
            return Ok(response.body)
        reason = ObjectsErrorReason.UNKNOWN
        if response.status == STATUS_NOT_FOUND:
            reason = ObjectsErrorReason.NOT_FOUND
        elif response.status == STATUS_NOT_APPLIED:
            reason = ObjectsErrorReason.NOT_APPLIED
        return Err(ObjectsError(reason, f"status {response.status}"))

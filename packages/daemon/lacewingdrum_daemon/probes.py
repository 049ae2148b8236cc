"""Serves health, readiness and metrics on the caller and operator ports."""

from collections.abc import Callable

from lacewingdrum_runtime import metrics
from lacewingdrum_transport import http_messages

TEXT_HEADERS = (("Content-Type", "text/plain; charset=utf-8"),)


class Probes:
    """Answers the load balancer and the metrics collector.

    ``not_ready_reason`` returns an empty text while new requests are accepted.
    """

    def __init__(
        self, not_ready_reason: Callable[[], str], daemon_metrics: metrics.Metrics
    ) -> None:
        self._not_ready_reason = not_ready_reason
        self._metrics = daemon_metrics

    def answer(
        self, request: http_messages.HttpRequest
    ) -> http_messages.HttpResponse | None:
        """Return the response to a probe; None for any other request."""
        if request.method not in ("GET", "HEAD"):
            return None
        match request.path:
            case "/healthz":
                return http_messages.HttpResponse(200, TEXT_HEADERS, b"ok\n")
            case "/readyz":
                return self._readiness_response()
            case "/metrics":
                headers = (("Content-Type", metrics.CONTENT_TYPE),)
                body = self._metrics.text().encode()
                return http_messages.HttpResponse(200, headers, body)
        return None

    def _readiness_response(self) -> http_messages.HttpResponse:
        reason = self._not_ready_reason()
        if not reason:
            return http_messages.HttpResponse(200, TEXT_HEADERS, b"ready\n")
        body = f"not ready: {reason}\n".encode()
        return http_messages.HttpResponse(503, TEXT_HEADERS, body)

"""How callers and backend servers say things over HTTP: headers and refusals."""

import abc
import json

from godwitrack.exceptions import ERROR_ANSWERS, ErrorKind, RequestError
from godwitrack_node.answer import HttpAnswer
from godwitrack_node.context import ERROR_HEADER, REQUEST_ID_HEADER


class CallerProtocol(abc.ABC):
    """What the callers' port reads from requests and writes in refusals."""

    @abc.abstractmethod
    def write_refusal(self, error, request_id):
        """Return the HttpAnswer that tells a caller of a RequestError.

        Args:
            error: RequestError.
            request_id: Id of the request, or "".
        """


class HostedCallerProtocol(CallerProtocol):
    """The callers' protocol where requests are routed by host and path."""

    @abc.abstractmethod
    def read_request_id(self, request):
        """Return the id that the caller gave an HttpRequest, or ""."""

    @abc.abstractmethod
    def read_parent_id(self, request):
        """Return the id of the request that an HttpRequest may belong to, or ""."""

    @abc.abstractmethod
    def read_timeout(self, request):
        """Return the seconds for which the caller waits, or None.

        Raises:
            RequestError: BAD_REQUEST; the header can't be read.
        """

    @abc.abstractmethod
    def list_forwarded(self, request):
        """Return the headers of an HttpRequest that go on, as pairs of texts."""


class HostedServerProtocol(abc.ABC):
    """What the guard writes to the backend server and reads from its answers."""

    @abc.abstractmethod
    def make_headers(self, call, instance, left):
        """Return the headers of a request, as pairs of texts.

        Args:
            call: RoutedCall.
            instance: Id of the process that must run it.
            left: Seconds that are left for it.
        """

    @abc.abstractmethod
    def owns(self, answer, caller_id):
        """Tell whether an HttpAnswer belongs to the request with this id."""

    @abc.abstractmethod
    def is_unrun(self, answer):
        """Tell whether an answer says that the request did not run."""

    @abc.abstractmethod
    def is_other_process(self, answer):
        """Tell whether an answer says that another process has the address."""

    @abc.abstractmethod
    def is_genuine(self, answer):
        """Tell whether an answer may be handed to the caller as it is."""

    @abc.abstractmethod
    def read_slowness(self, answer):
        """Return how long work takes now, in percent of the usual time, or None."""

    @abc.abstractmethod
    def make_health_headers(self):
        """Return the headers of a health check, as pairs of texts."""

    @abc.abstractmethod
    def read_health(self, answer):
        """Return the Health that an answer to a health check tells."""


class JsonCallerProtocol(CallerProtocol):
    """The product's own interface: error answers as JSON objects."""

    def write_refusal(self, error, request_id):
        """Return the HttpAnswer with kind, text and what the caller may do."""
        if error.kind is ErrorKind.HEAD_TOO_LARGE:
            # Callers of this interface have always been told 400 here.
            error = RequestError(ErrorKind.BAD_REQUEST, error.detail)
        answer = ERROR_ANSWERS[error.kind]
        body = json.dumps(
            {
                "error": error.kind.value,
                "text": error.detail,
                "not_run": answer.not_run,
                "may_repeat": answer.repeatable,
                "request_id": request_id,
            }
        ).encode()
        headers = [
            ("Content-Type", "application/json"),
            (ERROR_HEADER, error.kind.value),
            ("Godwitrack-Not-Run", "true" if answer.not_run else "false"),
        ]
        if request_id:
            headers.append((REQUEST_ID_HEADER, request_id))
        return HttpAnswer(answer.status, headers, body)

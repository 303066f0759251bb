"""HTTP headers and error answers between the node, callers and backend servers."""

import abc
import json

from godwitrack.exceptions import ERROR_ANSWERS, ErrorKind, RequestError
from godwitrack_node.answer import HttpAnswer
from godwitrack_node.context import ERROR_HEADER, REQUEST_ID_HEADER


class CallerProtocol(abc.ABC):
    """Defines how the callers' port writes error answers."""

    @abc.abstractmethod
    def write_error(self, error, request_id):
        """Return the HttpAnswer that reports a RequestError to a caller.

        Args:
            error: RequestError.
            request_id: Id of the request, or "".
        """


class HostedCallerProtocol(CallerProtocol):
    """Defines the headers of callers whose requests are routed by host and path."""

    @abc.abstractmethod
    def read_request_id(self, request):
        """Return the id that the caller gave an HttpRequest, or ""."""

    @abc.abstractmethod
    def read_parent_id(self, request):
        """Return the id of the request that may have made an HttpRequest, or ""."""

    @abc.abstractmethod
    def read_timeout(self, request):
        """Return the seconds for which the caller waits, or None.

        Raises:
            RequestError: BAD_REQUEST; the header is malformed.
        """

    @abc.abstractmethod
    def list_forwarded_headers(self, request):
        """Return the headers of an HttpRequest to forward, as pairs of texts."""


class HostedServerProtocol(abc.ABC):
    """Defines what the guard sends to a backend server and reads in its answers."""

    @abc.abstractmethod
    def make_headers(self, call, instance, remaining_seconds):
        """Return the headers of a request, as pairs of texts.

        Args:
            call: RoutedCall.
            instance: Id of the backend server's process that must run it.
            remaining_seconds: Time until its deadline, in seconds.
        """

    @abc.abstractmethod
    def belongs_to(self, answer, caller_id, is_first):
        """Return whether an HttpAnswer belongs to the request with this id.

        Args:
            answer: HttpAnswer.
            caller_id: Id of the request.
            is_first: Whether no earlier request can have caused the answer.
        """

    @abc.abstractmethod
    def is_health_answer(self, answer):
        """Return whether an HttpAnswer can answer a health check."""

    @abc.abstractmethod
    def is_not_run(self, answer):
        """Return whether an answer says that the request did not run."""

    @abc.abstractmethod
    def is_other_process(self, answer):
        """Return whether an answer says that another process has the address."""

    @abc.abstractmethod
    def is_forwardable(self, answer):
        """Return whether an answer may be sent to the caller unchanged."""

    @abc.abstractmethod
    def read_slowness(self, answer):
        """Return the current run time in percent of the usual one, or None."""

    @abc.abstractmethod
    def read_condition(self, answer):
        """Return the ServerCondition that an HttpAnswer states, or None if unknown."""

    @abc.abstractmethod
    def make_health_headers(self):
        """Return the headers of a health check, as pairs of texts."""

    @abc.abstractmethod
    def read_health(self, answer):
        """Return the Health that an answer to a health check reports."""


class JsonCallerProtocol(CallerProtocol):
    """Writes the error answers of a stand-alone node as JSON objects."""

    def write_error(self, error, request_id):
        """Return the HttpAnswer with the error kind, its text and retry advice."""
        if error.kind is ErrorKind.HEAD_TOO_LARGE:
            # This interface has always answered 400 in this case.
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

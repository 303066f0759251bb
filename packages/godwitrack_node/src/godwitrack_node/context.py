"""The signed request context, which backend servers pass on in nested calls."""

import base64
import hmac

import cbor2

from godwitrack.exceptions import ErrorKind, RequestError

CONTEXT_HEADER = "Godwitrack-Context"
REQUEST_ID_HEADER = "Godwitrack-Request-Id"
DEADLINE_HEADER = "Godwitrack-Deadline-Ms"
ERROR_HEADER = "Godwitrack-Error"
NOT_RUN_HEADER = "Godwitrack-Not-Run"

_SIGNATURE_BYTES = 16


class RequestContext:
    """The identity and limits that a nested call inherits from its outer request.

    Attributes:
        customer: Name of the customer.
        request_id: Id of the outer request.
        deadline: Deadline of the outer request, in the node's monotonic time, in
            seconds.
        depth: Number of calls in the chain so far.
        retries_left: Number of retries that the whole chain may still make.
        regions: Sorted list of the regions that the outer request allows.
    """

    __slots__ = (
        "customer",
        "deadline",
        "depth",
        "regions",
        "request_id",
        "retries_left",
    )

    def __init__(self, customer, request_id, deadline, depth, retries_left, regions):
        self.customer = customer
        self.request_id = request_id
        self.deadline = deadline
        self.depth = depth
        self.retries_left = retries_left
        self.regions = regions


class ContextSigner:
    """Encodes contexts as signed header values, and verifies and decodes them.

    Only the node that wrote a context reads it, so the deadline can be in that node's
    own monotonic time.
    """

    def __init__(self, secret, incarnation):
        self._key = f"context|{incarnation}|{secret}".encode()

    def write(self, context):
        """Return a RequestContext as a signed header value."""
        data = cbor2.dumps(
            [
                context.customer,
                context.request_id,
                context.deadline,
                context.depth,
                context.retries_left,
                context.regions,
            ]
        )
        return base64.urlsafe_b64encode(self._sign(data) + data).decode()

    def read(self, value):
        """Return the RequestContext in a signed header value.

        Raises:
            RequestError: UNAUTHENTICATED; this node did not write it.
        """
        try:
            raw = base64.b64decode(value.encode(), b"-_", validate=True)
        except ValueError:
            raw = b""
        signature, data = raw[:_SIGNATURE_BYTES], raw[_SIGNATURE_BYTES:]
        if not data or not hmac.compare_digest(signature, self._sign(data)):
            raise RequestError(ErrorKind.UNAUTHENTICATED, "the context is not genuine")
        return RequestContext(*cbor2.loads(data))

    def _sign(self, data):
        return hmac.digest(self._key, data, "sha256")[:_SIGNATURE_BYTES]

"""A client of a node's operators' port."""

import json
from urllib.parse import urlencode

from godwitrack.exceptions import GodwitrackError, StoreError
from godwitrack.store import HttpClient

TIMEOUT_SECONDS = 30.0


class NodeRefused(GodwitrackError):
    """The node answered with an error.

    Attributes:
        status: HTTP status.
        data: The answer's content.
    """

    def __init__(self, status, data):
        super().__init__(data.get("error", f"status {status}"))
        self.status = status
        self.data = data


class NodeClient:
    """Sends operators' requests to one node."""

    def __init__(self, address, token):
        self._url = f"http://{address}"
        self._token = token
        self._client = HttpClient(TIMEOUT_SECONDS)

    def get(self, path, **arguments):
        """Return the plain data at a path.

        Raises:
            NodeRefused: The node answered with an error.
            StoreError: The node could not be reached.
        """
        query = f"?{urlencode(arguments)}" if arguments else ""
        return self._fetch("GET", path + query, None)

    def post(self, path, data):
        """Send plain data to a path and return the answer's.

        Raises:
            NodeRefused: The node answered with an error.
            StoreError: The node could not be reached, or its answer was lost.
        """
        return self._fetch("POST", path, json.dumps(data).encode())

    def _fetch(self, method, path, body):
        headers = [f"Authorization: Bearer {self._token}"]
        status, answer = self._client.fetch(method, self._url + path, body, headers)
        try:
            data = json.loads(answer)
        except ValueError:
            raise StoreError(f"{self._url}{path}: status {status}, not JSON") from None
        if status != 200:
            raise NodeRefused(status, data)
        return data

"""HTTP client of a node's operators' port."""

import json
from urllib.parse import urlencode

from godwitrack.exceptions import GodwitrackError, StoreError
from godwitrack.store import HttpClient

TIMEOUT_SECONDS = 30.0


class NodeRefused(GodwitrackError):
    """Raised when a node answers with an error status.

    Attributes:
        status: HTTP status.
        data: Decoded JSON object of the answer.
    """

    def __init__(self, status, data):
        super().__init__(data.get("error", f"status {status}"))
        self.status = status
        self.data = data


class NodeClient:
    """Sends operators' requests to one node."""

    def __init__(self, address, token):
        """Prepare without connecting.

        Args:
            address: "host:port" of the node's operators' port.
            token: Bearer token of the operators.
        """
        self._url = f"http://{address}"
        self._token = token
        self._client = HttpClient(TIMEOUT_SECONDS)

    def get(self, path, **parameters):
        """Return the JSON data at a path.

        Args:
            path: Path without a query.
            **parameters: Parameters of the query.

        Raises:
            NodeRefused: The node answered with an error status.
            StoreError: The node could not be reached or did not answer with JSON.
        """
        query = f"?{urlencode(parameters)}" if parameters else ""
        return self._fetch("GET", path + query, None)

    def post(self, path, data):
        """Send JSON data to a path and return the data of the answer.

        Raises:
            NodeRefused: The node answered with an error status.
            StoreError: The node could not be reached, its answer was lost, or the
                answer was not JSON.
        """
        return self._fetch("POST", path, json.dumps(data).encode())

    def _fetch(self, method, path, body):
        headers = [f"Authorization: Bearer {self._token}"]
        response = self._client.fetch(method, self._url + path, body, headers)
        status = response.status
        try:
            data = json.loads(response.body)
        except ValueError:
            raise StoreError(f"{self._url}{path}: status {status}, not JSON") from None
        if status != 200:
            raise NodeRefused(status, data)
        return data

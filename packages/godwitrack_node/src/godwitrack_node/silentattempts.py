"""Attempts of one request at nodes that fell silent.

Load pattern: a node that is starved of processor time for half a second answers no
query, while its backend server works. Another server is tried, and may refuse. The
first attempt is not ended before another one has brought an answer.
"""

from godwitrack.exceptions import RequestError


class SilentAttempts:
    """Keeps the first attempt that ended with SilentNode, and ends the others.

    The first one has run for longest, and so is the closest to its answer.
    """

    def __init__(self):
        self._view = None
        self._attempt = None

    @property
    def has_any(self):
        """Whether there is an attempt to resume."""
        return self._attempt is not None

    def add(self, view, attempt):
        """Add an attempt.

        Args:
            view: MemberView of the member that was tried.
            attempt: RemoteAttempt that ended with SilentNode.
        """
        if self._attempt is not None:
            attempt.close()
            return
        self._view, self._attempt = view, attempt

    def resume(self, error, sink):
        """Wait for the answer of the attempt that is kept.

        Args:
            error: RequestError that the attempts ended with.
            sink: CallerSink of the request.

        Returns:
            The MemberView and the Load of the server, or None if that is not known.

        Raises:
            RequestError: `error`, as there is no answer, or another one after the sink
                got a part of one.
            CallerDisconnected: The caller disconnected.
        """
        view, attempt = self._view, self._attempt
        self._view = self._attempt = None
        try:
            return view, attempt.resume()
        except RequestError as late_error:
            # That this attempt did not run says nothing of the others.
            raise (late_error if sink.is_started else error) from None

    def close(self):
        """End the attempt that is kept, if any."""
        if self._attempt is not None:
            self._attempt.close()
            self._attempt = None

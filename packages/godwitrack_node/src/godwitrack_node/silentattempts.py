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

    def run(self, make_attempts, sink, record_load):
        """Make attempts, and resume the one that is kept if they bring no answer.

        Where the request may still be at work, its answer is better than none.

        Args:
            make_attempts: Function that makes attempts until one gets an answer, and
                raises RequestError if no further one is allowed.
            sink: CallerSink of the request.
            record_load: Function called with the view and the Load of the server that
                answered in the end; the Load is None if it is not known.

        Raises:
            RequestError: There is no answer, or the sink got only a part of one.
            CallerDisconnected: The caller disconnected.
        """
        try:
            make_attempts()
        except RequestError as error:
            if sink.is_started or self._attempt is None:
                raise
            record_load(*self._resume(error, sink))
        finally:
            self._close()

    def add(self, view, attempt):
        """Add an attempt.

        Args:
            view: View of the server that was tried.
            attempt: RemoteAttempt that ended with SilentNode.
        """
        if self._attempt is not None:
            attempt.close()
            return
        self._view, self._attempt = view, attempt

    def _resume(self, error, sink):
        view, attempt = self._view, self._attempt
        self._view = self._attempt = None
        try:
            return view, attempt.resume()
        except RequestError as late_error:
            # That this attempt did not run says nothing of the others.
            raise (late_error if sink.is_started else error) from None

    def _close(self):
        if self._attempt is not None:
            self._attempt.close()
            self._attempt = None

"""The part of a request's body that a node sends after the message with the call."""

from godwitrack_node.pacing import REGIONAL_FIRST_BYTES


class RemainingBody:
    """The part of a request's body that is sent after the call message."""

    def __init__(self, call, source):
        self._call = call
        self._source = source
        self._has_more = call.more
        self._deferred = b""
        self._sender = None

    @property
    def is_settled(self):
        """Whether no message about the body can still come or is still expected."""
        return self._sender is None or self._sender.is_complete

    def shorten_first_part(self):
        """Shorten the part in the call to REGIONAL_FIRST_BYTES and defer the rest."""
        call = self._call
        if len(call.body) > REGIONAL_FIRST_BYTES:
            self._deferred = call.body[REGIONAL_FIRST_BYTES:]
            call.body = call.body[:REGIONAL_FIRST_BYTES]
            call.more = True

    def send(self, sender, deadline):
        """Send the remaining body; returns a message that ended it early, or None."""
        self._sender = sender
        if self._deferred:
            message = sender.send(self._deferred, self._has_more, deadline)
            if message is not None:
                return message
        while self._has_more:
            part = self._source.read()
            self._has_more = bool(part)
            message = sender.send(part, self._has_more, deadline)
            if message is not None:
                return message
        return None

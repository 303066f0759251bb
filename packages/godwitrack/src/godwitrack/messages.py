"""Decoding of the messages between nodes from CBOR."""

import cbor2

from godwitrack.callmessages import (
    Answer,
    Call,
    Chunk,
    Outcome,
    Proceed,
    Query,
    Refused,
    RoutedCall,
)
from godwitrack.controlmessages import (
    Changes,
    ChangesRequest,
    DigestRequest,
    FeedAnswer,
    FeedPatchRequest,
    FeedPending,
    FeedRequest,
    Ping,
    Pong,
    Probe,
    ProbeResult,
    Records,
)
from godwitrack.exceptions import MessageError

MESSAGES = {
    message.TAG: message
    for message in (
        Call,
        Chunk,
        Refused,
        Answer,
        Query,
        Outcome,
        Ping,
        Pong,
        DigestRequest,
        Records,
        ChangesRequest,
        Changes,
        Probe,
        ProbeResult,
        Proceed,
        RoutedCall,
        FeedRequest,
        FeedAnswer,
        FeedPending,
        FeedPatchRequest,
    )
}


def decode_message(data):
    """Decode bytes and return the message.

    Args:
        data: One CBOR array, as returned by Message.encode.

    Raises:
        MessageError: The data is not CBOR, or not a message of a known type.
    """
    try:
        values = cbor2.loads(data)
    except Exception as error:
        # The decoder raises many exception types on bad input, even MemoryError.
        raise MessageError(f"not CBOR: {type(error).__name__}") from None
    if type(values) is not list or not values or type(values[0]) is not int:
        raise MessageError("not an array that starts with a tag")
    message_class = MESSAGES.get(values[0])
    if message_class is None:
        raise MessageError(f"unknown tag {values[0]}")
    del values[0]
    if [type(value) for value in values] != message_class.FIELD_TYPES:
        raise _make_shape_error(message_class, values)
    return message_class(*values)


def _make_shape_error(message_class, values):
    """Return a MessageError for values that do not match the fields of a class."""
    if len(values) != len(message_class.FIELDS):
        return MessageError(
            f"{message_class.__name__} must have {len(message_class.FIELDS)} fields"
        )
    for (name, expected), value in zip(message_class.FIELDS, values, strict=True):
        if type(value) is not expected:
            break
    return MessageError(
        f"{message_class.__name__}.{name} is not of type {expected.__name__}"
    )

"""Messages with which gateways read the store's objects from a peer that watches it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import msgpack

from agatehoist.protocol.errors import BadFrameError
from agatehoist.storage.objects import Changes, Listing, ObjectChange, StoredValue
from agatehoist.storage.revisions import Revision

VERSION = 2
FEED_TARGET = b"/store-feed"
MAX_TOPICS = 16
MAX_WAIT_S = 5.0

Update = Listing | Changes


@dataclass(frozen=True, slots=True)
class FeedRequest:
    """Ask for what has changed since the revision known of each topic.

    NO_REVISION asks for a whole list. The reply is held for `wait_s` while nothing has
    changed.
    """

    wait_s: float
    revisions_by_topic: dict[str, Revision]


@dataclass(frozen=True, slots=True)
class FeedReply:
    """Hold the updates of the topics that have changed."""

    updates_by_topic: dict[str, Update]


def encode_request(request: FeedRequest) -> bytes:
    """Encode a request."""
    revisions = {
        topic: [revision.era, revision.number]
        for topic, revision in request.revisions_by_topic.items()
    }
    data: bytes = msgpack.packb([VERSION, request.wait_s, revisions])
    return data


def decode_request(data: bytes) -> FeedRequest:
    """Decode a request.

    Raises BadFrameError.
    """
    try:
        version, wait_s, revisions = msgpack.unpackb(data)
        if version != VERSION:
            raise ValueError(f"unsupported version {version!r}")
        if not isinstance(wait_s, float) or not 0 <= wait_s <= MAX_WAIT_S:
            raise ValueError(f"wait of {wait_s!r} s is out of range")
        if not isinstance(revisions, dict) or len(revisions) > MAX_TOPICS:
            raise ValueError("the revisions are not a short mapping")
        return FeedRequest(
            wait_s,
            {
                _check(topic, str): _decode_revision(*each)
                for topic, each in revisions.items()
            },
        )
    except (ValueError, TypeError, msgpack.exceptions.UnpackException) as error:
        raise BadFrameError(f"invalid feed request: {error}") from error


def encode_reply(reply: FeedReply) -> bytes:
    """Encode a reply."""
    updates = {
        topic: [
            isinstance(update, Listing),
            update.revision.era,
            update.revision.number,
            _encode_objects(update),
        ]
        for topic, update in reply.updates_by_topic.items()
    }
    data: bytes = msgpack.packb([VERSION, updates])
    return data


def decode_reply(data: bytes) -> FeedReply:
    """Decode a reply.

    Raises BadFrameError.
    """
    try:
        version, updates = msgpack.unpackb(data, strict_map_key=False)
        if version != VERSION:
            raise ValueError(f"unsupported version {version!r}")
        return FeedReply(
            {
                _check(topic, str): _decode_update(*each)
                for topic, each in updates.items()
            }
        )
    except (
        AttributeError,
        ValueError,
        TypeError,
        msgpack.exceptions.UnpackException,
    ) as error:
        raise BadFrameError(f"invalid feed reply: {error}") from error


def _encode_objects(update: Update) -> list[list[Any]]:
    if isinstance(update, Listing):
        return [
            [each.name, each.revision.number, False, each.spec]
            for each in update.values
        ]
    return [
        [each.value.name, each.value.revision.number, each.removed, each.value.spec]
        for each in update.changes
    ]


def _decode_update(is_list: Any, era: Any, number: Any, objects: Any) -> Update:
    revision = _decode_revision(era, number)
    # All objects of an update are from one era.
    changes = tuple(_decode_object(era, *each) for each in objects)
    if is_list is True:
        return Listing(tuple(each.value for each in changes), revision)
    return Changes(changes, revision)


def _decode_object(
    era: int, name: Any, number: Any, removed: Any, spec: Any
) -> ObjectChange:
    revision = _decode_revision(era, number)
    return ObjectChange(StoredValue(_check(name, str), revision, spec), removed is True)


def _check(value: Any, expected: type) -> Any:
    if not isinstance(value, expected):
        raise ValueError(f"{value!r:.40} is not of type {expected.__name__}")
    return value


def _decode_revision(era: Any, number: Any) -> Revision:
    for value in (era, number):
        if type(value) is not int or value < 0:
            raise ValueError(f"revision {value!r:.40} is not a non-negative integer")
    return Revision(era, number)

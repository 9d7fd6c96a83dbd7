"""Messages with which gateways read the store's objects from a peer that watches it."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import Any

import msgpack

from agatehoist.core.document_reader import describe
from agatehoist.core.json_text import find_fault
from agatehoist.core.numbers import checked_integer
from agatehoist.protocol.decoding import bad_frames
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
    with bad_frames("feed request"):
        version, wait_s, revisions = msgpack.unpackb(data)
        if version != VERSION:
            raise ValueError(f"unsupported version {describe(version)}")
        if not isinstance(wait_s, float) or not 0 <= wait_s <= MAX_WAIT_S:
            raise ValueError(f"wait in s is out of range: {describe(wait_s)}")
        if not isinstance(revisions, dict) or len(revisions) > MAX_TOPICS:
            raise ValueError("the revisions are not a short mapping")
        return FeedRequest(
            wait_s,
            {
                _check(topic, str): _decode_revision(*each)
                for topic, each in revisions.items()
            },
        )


def encode_reply(reply: FeedReply) -> bytes:
    """Encode a reply; an object that can't be encoded costs only itself."""
    try:
        return _pack_updates(reply.updates_by_topic)
    except (ValueError, OverflowError, TypeError):
        # Found only now, as checking each object takes as long as packing all.
        encodable = {
            topic: _without_odd_objects(update)
            for topic, update in reply.updates_by_topic.items()
        }
        return _pack_updates(encodable)


def decode_reply(data: bytes) -> FeedReply:
    """Decode a reply.

    Raises BadFrameError.
    """
    with bad_frames("feed reply"):
        version, updates = msgpack.unpackb(data, strict_map_key=False)
        if version != VERSION:
            raise ValueError(f"unsupported version {describe(version)}")
        return FeedReply(
            {
                _check(topic, str): _decode_update(*each)
                for topic, each in updates.items()
            }
        )


def _pack_updates(updates_by_topic: dict[str, Update]) -> bytes:
    updates = {
        topic: [
            isinstance(update, Listing),
            update.revision.era,
            update.revision.number,
            _encode_objects(update),
        ]
        for topic, update in updates_by_topic.items()
    }
    data: bytes = msgpack.packb([VERSION, updates])
    return data


def _without_odd_objects(update: Update) -> Update:
    if isinstance(update, Listing):
        values = map(_encodable, update.values)
        return replace(update, values=tuple(each for each in values if each))
    changes = []
    for each in update.changes:
        value = _encodable(each.value)
        if value is not None:
            changes.append(replace(each, value=value))
    return replace(update, changes=tuple(changes))


def _encodable(value: StoredValue) -> StoredValue | None:
    """Return an object that can be encoded, or None if its name can't.

    Without its content, its readers take it as one that can't be read.
    """
    if find_fault([value.name, value.revision.number]):
        return None
    return replace(value, spec=None) if find_fault(value.spec) else value


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
        raise ValueError(f"{expected.__name__} expected, got {describe(value)}")
    return value


def _decode_revision(era: Any, number: Any) -> Revision:
    checked_era, checked_number = checked_integer(era), checked_integer(number)
    if checked_era is None or checked_number is None:
        raise ValueError("a revision isn't two non-negative integers")
    return Revision(checked_era, checked_number)

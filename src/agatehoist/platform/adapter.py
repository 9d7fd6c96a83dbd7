"""Implementation of gateway.types.Platform for the users' platform.

The platform is the object store, the headers and the engines of the gateway's users.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from agatehoist.gateway.types import ObjectKinds
from agatehoist.platform import documents, engines, names, replies, requests

if TYPE_CHECKING:
    from agatehoist.http1.types import RequestHead
    from agatehoist.routing.types import RoutingTable


class UsersPlatform:
    """Translate between the platform's messages and the types of this program."""

    kinds = ObjectKinds(
        names.CONFIGURATION_KIND, names.ENDPOINT_KIND, names.WEIGHTS_KIND
    )
    request_id = staticmethod(requests.request_id)
    read_envelope = staticmethod(requests.read_envelope)
    dispatched_head = staticmethod(requests.dispatched_head)
    is_not_executed = staticmethod(replies.is_not_executed)
    answered_request_id = staticmethod(replies.answered_request_id)
    weights_version = staticmethod(replies.weights_version)
    check_success = staticmethod(replies.check_success)
    read_statement = staticmethod(replies.read_statement)
    idle_limit_s = staticmethod(replies.idle_limit_s)
    returned_headers = staticmethod(replies.returned_headers)
    refusal_reply = staticmethod(replies.refusal_reply)
    read_endpoint = staticmethod(documents.read_endpoint)
    read_weights = staticmethod(documents.read_weights)
    report_head = staticmethod(engines.report_head)
    read_report = staticmethod(engines.read_report)
    move_request = staticmethod(engines.move_request)
    read_move_reply = staticmethod(engines.read_move_reply)
    free_copy_head = staticmethod(engines.free_copy_head)
    order_request = staticmethod(engines.order_request)

    def is_ready_check(self, head: RequestHead) -> bool:
        """Return whether a request is a readiness check."""
        return head.target.partition(b"?")[0] == names.READY_PATH.encode()

    def read_configuration(self, name: str, spec: object) -> RoutingTable | None:
        """Parse a routing table; return None for an object that isn't one.

        Raises InvalidDocumentError.
        """
        if name != names.CONFIGURATION_NAME:
            return None
        return documents.read_configuration(spec)

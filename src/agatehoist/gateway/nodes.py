"""Registration of this node and listing of all nodes, which share a retry budget.

A node is one gateway of the deployment; it keeps its name when its process restarts.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import anyio

from agatehoist.core.address import checked_address
from agatehoist.core.document_reader import (
    Finding,
    InvalidDocumentError,
    MappingReader,
    raise_findings,
)
from agatehoist.observability.logs import get_logger
from agatehoist.storage.errors import ConflictError, PlatformError

if TYPE_CHECKING:
    from agatehoist.core.address import Address
    from agatehoist.gateway.state import GatewayState
    from agatehoist.storage.objects import Listing

logger = get_logger("gateway")

NODE_KIND = "agatehoist-nodes"
# Nodes are added and removed over hours, so a list of this age is accurate enough.
POLL_INTERVAL_S = 15.0
RETRY_DELAY_S = 2.0
# The list is read again after this time if a node that it lacks has sent something.
EARLY_DELAY_S = 0.4


async def track_nodes(state: GatewayState) -> None:
    """Register this node and update the list of nodes until cancelled.

    The list is read again early when a node that isn't listed sends a datagram, and
    when the store has come back from an older copy, which may lack nodes.
    """
    registered = False
    count = 0
    while True:
        try:
            listing = await _list_registered(state, registered)
        except PlatformError as error:
            logger.info("node list not read", reason=str(error))
            await anyio.sleep(RETRY_DELAY_S)
            continue
        # A stale list may still lack a node that has just registered.
        registered = _is_listed(state, listing)
        data_centres_by_node = _read_nodes(listing)
        data_centres_by_node |= state.nodes_before_restore()
        state.set_nodes(frozenset(data_centres_by_node), data_centres_by_node)
        # While nodes start together, the list is still growing and is read again soon.
        is_complete = registered and len(listing.values) == count > 1
        count = len(listing.values)
        await _pause(state)
        if is_complete:
            await state.unlisted_node_seen.wait(POLL_INTERVAL_S - RETRY_DELAY_S)


async def _list_registered(state: GatewayState, is_registered: bool) -> Listing:
    """Register this node unless it is, and return the list of nodes.

    While the store takes no writes, the list is used if it names this node since an
    earlier process of it.

    Raises PlatformError.
    """
    failure: PlatformError | None = None
    if not is_registered:
        try:
            await _register(state)
        except PlatformError as error:
            failure = error
    listing = await state.store.list(NODE_KIND, allow_stale=True)
    if failure is not None and not _is_listed(state, listing):
        raise failure
    return listing


def _is_listed(state: GatewayState, listing: Listing) -> bool:
    return any(each.name == state.settings.node for each in listing.values)


async def _pause(state: GatewayState) -> None:
    """Wait until the list may have changed.

    Gateways that list each other differently can't share allotments fully.
    """
    if not state.allotments.terms_by_organisation:
        await anyio.sleep(RETRY_DELAY_S)
        return
    await anyio.sleep(EARLY_DELAY_S)
    await state.unlisted_node_seen.wait(RETRY_DELAY_S - EARLY_DELAY_S)


async def _register(state: GatewayState) -> None:
    inner = state.settings.inner
    spec = {
        "host": inner.host,
        "port": inner.port,
        "data_centre": state.settings.data_centre,
    }
    try:
        await state.store.create(NODE_KIND, state.settings.node, spec)
    except ConflictError:
        # An earlier process of this node has registered it.
        return


def read_node(spec: Any) -> tuple[Address, str]:
    """Parse the entry of a node; return its address and its data centre.

    Raises InvalidDocumentError.
    """
    findings: list[Finding] = []
    reader = MappingReader(spec, "", findings)
    address = checked_address(reader.text("host"), reader.integer("port"))
    if address is None:
        reader.add_finding("host", "not an IP address with a port")
    # Nodes of releases before 0.1.0 registered without it.
    data_centre = reader.text("data_centre", "")
    raise_findings("node", findings)
    assert address is not None
    return address, data_centre


def _read_nodes(listing: Listing) -> dict[Address, str]:
    data_centres_by_node = {}
    for each in listing.values:
        try:
            address, data_centre = read_node(each.spec)
        except InvalidDocumentError as error:
            logger.warning("invalid node ignored", node=each.name, reason=str(error))
            continue
        data_centres_by_node[address] = data_centre
    return data_centres_by_node

"""Traits of a request: keys of what it has in common with others."""

from __future__ import annotations

from functools import cached_property
from typing import TYPE_CHECKING

from agatehoist.protocol.node_reports import part_key
from agatehoist.quarantine.fingerprint import request_fingerprint

if TYPE_CHECKING:
    from agatehoist.routing.types import RoutedRequest


class RequestTraits:
    """Hold the keys of a request's traits; they are computed when first needed."""

    def __init__(self, request: RoutedRequest) -> None:
        self._request = request

    @cached_property
    def parts(self) -> tuple[bytes, ...]:
        """Return the keys of the prompt parts that other prompts may have too."""
        prompt = self._request.envelope.prompt
        if prompt is None:
            return ()
        return tuple(
            part_key(prompt.model, each.part_id) for each in prompt.shared_parts
        )

    @cached_property
    def fingerprint(self) -> bytes:
        """Return the digest that the request shares with itself when it comes again."""
        return request_fingerprint(self._request)

    @property
    def keys(self) -> tuple[bytes, ...]:
        """Return the keys of all traits."""
        return (*self.parts, self.fingerprint)

    @property
    def request_key(self) -> bytes:
        """Return the key of this request alone."""
        return part_key("", self._request.envelope.request_id)

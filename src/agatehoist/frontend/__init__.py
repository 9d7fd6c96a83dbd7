"""HTTP front end that is compatible with the OpenAI API."""

from __future__ import annotations

"""HTTP front end in the form of the OpenAI API."""

from __future__ import annotations

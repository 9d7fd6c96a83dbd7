"""Parser and checks of the JSON body of a completion request."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from agatehoist.core.work import CompletionWork, Priority
from agatehoist.frontend.json_body import load_json_object
from agatehoist.placement.levels import estimate_tokens
from agatehoist.refusals.kinds import (
    ContextLengthExceeded,
    InvalidParameter,
    UnknownModel,
)
from agatehoist.router.requests import CompletionRequest

if TYPE_CHECKING:
    from agatehoist.configuration import FleetConfiguration

DEFAULT_MAX_TOKENS = 256
# Longer prompts get the lower priority.
LONG_PROMPT_TOKENS = 2048

UNSUPPORTED_PARAMETERS = ("tools", "functions", "logprobs", "audio", "best_of")


@dataclass(frozen=True, slots=True)
class ParsedCompletion:
    """Hold a completion request and the options of its response."""

    request: CompletionRequest
    stream: bool
    with_usage: bool


def parse_completion(
    path: str,
    body: bytes,
    organisation: str,
    configuration: FleetConfiguration,
    deadline: float,
) -> ParsedCompletion:
    """Parse and check the body of a completion request.

    Raises RequestRefusedError.
    """
    fields = load_json_object(body)
    model = _read_model(fields, configuration)
    _reject_unsupported(fields)
    parts = PROMPT_READERS_BY_PATH[path](fields)
    prompt_tokens = estimate_tokens(sum(len(part.encode()) for part in parts))
    max_tokens = _read_max_tokens(fields)
    limit = configuration.models_by_name[model].context_tokens
    if prompt_tokens + max_tokens > limit:
        raise ContextLengthExceeded.refuse(
            f"prompt of about {prompt_tokens} and answer of {max_tokens} tokens "
            f"are over the model's {limit}"
        )
    priority = Priority.LONG if prompt_tokens > LONG_PROMPT_TOKENS else Priority.SHORT
    work = CompletionWork(path, body, prompt_tokens, max_tokens)
    request = CompletionRequest(organisation, model, parts, work, priority, deadline)
    options = fields.get("stream_options") or {}
    return ParsedCompletion(
        request,
        bool(fields.get("stream", False)),
        bool(options.get("include_usage", False)),
    )


def read_chat_parts(fields: dict[str, Any]) -> tuple[str, ...]:
    """Return the texts of chat messages, each with its role.

    Raises RequestRefusedError.
    """
    messages = fields.get("messages")
    if not isinstance(messages, list) or not messages:
        raise InvalidParameter.refuse("messages must be a list of at least one message")
    return tuple(_read_message(index, each) for index, each in enumerate(messages))


def read_prompt_parts(fields: dict[str, Any]) -> tuple[str, ...]:
    """Return the prompt as the only part; see find_levels for the use of parts.

    Raises RequestRefusedError.
    """
    prompt = fields.get("prompt")
    if not isinstance(prompt, str) or not prompt:
        raise InvalidParameter.refuse("prompt must be a non-empty string")
    return (prompt,)


# The keys are the paths of the completion routes.
PROMPT_READERS_BY_PATH = {
    "/v1/chat/completions": read_chat_parts,
    "/v1/completions": read_prompt_parts,
}


def _read_model(fields: dict[str, Any], configuration: FleetConfiguration) -> str:
    model = fields.get("model")
    if not isinstance(model, str):
        raise InvalidParameter.refuse("model must be a string")
    if model not in configuration.models_by_name:
        raise UnknownModel.refuse(f"no model has the name {model!r}")
    return model


def _reject_unsupported(fields: dict[str, Any]) -> None:
    for name in UNSUPPORTED_PARAMETERS:
        if fields.get(name):
            raise InvalidParameter.refuse(f"{name} is not supported")
    if fields.get("n", 1) != 1:
        raise InvalidParameter.refuse("n must be 1")
    if not isinstance(fields.get("stream"), bool | None):
        raise InvalidParameter.refuse("stream must be true or false")
    if not isinstance(fields.get("stream_options"), dict | None):
        raise InvalidParameter.refuse("stream_options must be an object")


def _read_max_tokens(fields: dict[str, Any]) -> int:
    name = "max_completion_tokens"
    value = fields.get(name)
    if value is None:
        name = "max_tokens"
        value = fields.get(name)
    if value is None:
        return DEFAULT_MAX_TOKENS
    if type(value) is not int or value < 1:
        raise InvalidParameter.refuse(f"{name} must be a positive integer")
    return value


def _read_message(index: int, message: Any) -> str:
    if not isinstance(message, dict):
        raise InvalidParameter.refuse(f"messages[{index}] must be an object")
    role = message.get("role")
    if not isinstance(role, str):
        raise InvalidParameter.refuse(f"messages[{index}].role must be a string")
    return f"{role}: {_read_content(index, message.get('content'))}\n"


def _read_content(index: int, content: Any) -> str:
    if isinstance(content, str):
        return content
    if isinstance(content, list):
        texts = [each.get("text") for each in content if isinstance(each, dict)]
        strings = [each for each in texts if isinstance(each, str)]
        if len(strings) == len(content):
            return "".join(strings)
    raise InvalidParameter.refuse(
        f"messages[{index}].content must be a string or a list of text parts"
    )

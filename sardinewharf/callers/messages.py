r"""Parses the bodies of model requests and encodes their responses.

Examples:
    >>> body = b'{"model": "m", "messages": [{"role": "user", "content": "x"}]}'
    >>> parse_body(body, is_chat=True).segments
    (b'user\x00x',)
    >>> try:
    ...     parse_body(b'{"model": "m", "messages": []}', is_chat=True)
    ... except outcomes.RequestError as error:
    ...     print(error)
    messages: Is empty. Correct the named field.
"""

from collections.abc import Mapping
import dataclasses

import msgspec

from sardinewharf import outcomes


class _Message(msgspec.Struct):
    role: str
    content: str | list[dict] | None = None


class _ChatBody(msgspec.Struct):
    model: str
    messages: list[_Message]
    max_tokens: int | None = None
    stream: bool | None = None


class _TextBody(msgspec.Struct):
    model: str
    prompt: str
    max_tokens: int | None = None
    stream: bool | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ParsedBody:
    """The body of a model request.

    Attributes:
        model: Name of the requested model or adapter.
        is_stream: Whether the caller requested a stream of events.
        segments: The messages of the prompt; a text prompt is one segment.
        fields: All fields of the body, also those that are not checked here.
    """

    model: str
    is_stream: bool
    segments: tuple[bytes, ...]
    fields: Mapping[str, object]


def parse_body(body: bytes, is_chat: bool) -> ParsedBody:
    """Returns the parsed body of a model request.

    Raises:
        RequestError: If the body is not valid for the route.
    """
    try:
        fields = msgspec.json.decode(body)
        schema = _ChatBody if is_chat else _TextBody
        parsed = msgspec.convert(fields, schema)
    except msgspec.ValidationError as error:
        problem, _, path = str(error).partition(" - at `$")
        field = path.rstrip("`").lstrip(".") or "body"
        raise make_field_error(field, problem) from error
    except (
        msgspec.DecodeError,
        UnicodeDecodeError,
        RecursionError,
    ) as error:
        raise make_field_error("body", f"Is not JSON: {error}") from error
    if parsed.max_tokens is not None and parsed.max_tokens < 1:
        raise make_field_error("max_tokens", "Must be 1 or more")
    if is_chat:
        segments = tuple(_encode_message(m) for m in parsed.messages)
        if not segments:
            raise make_field_error("messages", "Is empty")
    else:
        segments = (parsed.prompt.encode(),)
    return ParsedBody(parsed.model, bool(parsed.stream), segments, fields)


def make_field_error(field: str, problem: str) -> outcomes.RequestError:
    """Returns the exception that refuses a request with an invalid field."""
    return outcomes.refuse(
        outcomes.RefusalKind.BAD_REQUEST, f"{field}: {problem}."
    )


def encode_refusal(refusal: outcomes.Refusal) -> bytes:
    """Returns an error in the JSON format that model clients expect."""
    error = {
        "message": refusal.message,
        "type": refusal.kind.name.lower(),
        "code": refusal.kind.code,
        "param": None,
        "run_state": refusal.run_state.value,
        "retry_after": refusal.retry_after,
    }
    return msgspec.json.encode({"error": error})


def encode_error_event(refusal: outcomes.Refusal) -> bytes:
    """Returns the error event that ends a broken stream."""
    return b"data: " + encode_refusal(refusal) + b"\n\n"


def encode_completion(
    request: str, model: str, text: str, chunks: int, is_chat: bool
) -> bytes:
    """Returns the JSON response to a caller that requested no stream."""
    choice: dict[str, object] = {"index": 0, "finish_reason": "stop"}
    if is_chat:
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    body = {
        "id": request,
        "object": "chat.completion" if is_chat else "text_completion",
        "model": model,
        "choices": [choice],
        "usage": {"completion_tokens": chunks},
    }
    return msgspec.json.encode(body)


def _encode_message(message: _Message) -> bytes:
    content = message.content
    if isinstance(content, str):
        text = content.encode()
    else:
        text = msgspec.json.encode(content)
    return message.role.encode() + b"\x00" + text

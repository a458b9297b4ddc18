"""Encodes and decodes the platform's HTTP headers.

No other module contains names of the platform's headers.
"""

import functools
import math
import re

from sardinewharf import clocks
from sardinewharf import http1
from sardinewharf import ids
from sardinewharf import logs
from sardinewharf.gateway import messages

REQUEST_ID = b"x-sardinewharf-request-id"
# Time left in milliseconds, not a point in time, despite its name.
TIME_LEFT = b"x-sardinewharf-deadline-ms"
# The prompt's parts, as ``ID:TOKENS`` with commas between them.
PREFIX = b"x-sardinewharf-prompt-prefix"
LAST_EVENT_ID = b"last-event-id"
# Marks a response as made by an endpoint itself.
STAMP = b"x-sardinewharf-server-stamp"
ORGANISATION = b"x-sardinewharf-tenant"
EXPECT_ENDPOINT = b"x-sardinewharf-expect-instance"
LOAD = b"x-sardinewharf-server-load"
NOT_RUN = b"x-sardinewharf-not-run"
RETRY_AFTER = b"retry-after"
LEAVING = b"server-leaving"
MODEL = b"x-sardinewharf-model"
# Tokens of the prompt and the limit of generated tokens, with a comma between
# them; not what was used, despite its name.
TOKENS = b"x-sardinewharf-token-usage"
SALT = b"x-sardinewharf-cache-salt"
PRIORITY = b"x-sardinewharf-request-priority"
FETCH_FROM = b"x-sardinewharf-kv-fetch"
SAVE_TO = b"x-sardinewharf-kv-save"
WEIGHTS = b"x-sardinewharf-weight-versions"
EXPECT_WEIGHTS = b"x-sardinewharf-expect-version"
AUTHORIZATION = b"authorization"
_KEY_SCHEME = b"token "

# Headers that concern one connection only (RFC 9110, section 7.6.1).
_HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
        b"content-length",
    }
)
# Headers of callers that are not forwarded. The API key is for the gateway
# alone, and only the gateway and endpoints may set the others.
_RESERVED = frozenset(
    {
        TIME_LEFT,
        AUTHORIZATION,
        ORGANISATION,
        EXPECT_ENDPOINT,
        EXPECT_WEIGHTS,
        SALT,
        PRIORITY,
        FETCH_FROM,
        SAVE_TO,
        NOT_RUN,
        STAMP,
        WEIGHTS,
        LOAD,
        LEAVING,
        b"x-sardinewharf-instance-id",
        b"x-sardinewharf-pin-ms",
        b"x-sardinewharf-kv-hold",
        b"x-sardinewharf-kv-backup",
        b"kv-from",
    }
)
_NOT_FORWARDED = _HOP_BY_HOP | _RESERVED
_MAX_TIME_LEFT_MS = 600_000
_DEFAULT_TIME_LEFT_MS = 60_000
# Longest number in a header.
_MAX_DIGITS = 18
# Longest number of tokens in a header of a caller.
_MAX_TOKEN_DIGITS = 12
# Numbers of figures that a load may have, and the last of four that states the
# usual duration of work.
_LOAD_FIELDS = (3, 4)
_USUAL_PERCENT = 100
# Seconds, with a fraction at most; the length is limited too.
_RETRY_AFTER_VALUE = re.compile(rb"\d{1,18}(\.\d{1,18})?")
# Longest part of an ignored value that is logged, in bytes, and number of the
# latest ones that are not logged again.
_MAX_LOGGED = 40
_LOGGED_VALUES = 64
_log = logs.get_logger("headers")


class PlatformHeaderCodec(messages.HeaderCodec):
    """Encodes and decodes headers as the platform defines them."""

    def read_request(
        self, headers: http1.Headers, arrived: float
    ) -> messages.CallerHeaders:
        """Returns the decoded headers of a caller's request.

        Raises:
            MalformedError: If a header cannot be decoded.
        """
        first_values: dict[bytes, bytes] = {}
        for name, value in headers:
            first_values.setdefault(name, value)
        connection_options = _list_connection_options(
            first_values.get(b"connection", b"")
        )
        return messages.CallerHeaders(
            request_id=ids.RequestId(
                first_values.get(REQUEST_ID, b"").decode()
            ),
            host=_read_host(first_values.get(b"host", b"")),
            key=_read_key(first_values.get(AUTHORIZATION, b"")),
            deadline=_read_deadline(first_values.get(TIME_LEFT), arrived),
            prompt=_read_prompt(first_values),
            resume_after=_read_event_id(first_values.get(LAST_EVENT_ID)),
            forwarded_headers=tuple(
                (name, value)
                for name, value in headers
                if name not in _NOT_FORWARDED and name not in connection_options
            ),
        )

    def write_request(self, dispatch: messages.Dispatch) -> http1.Headers:
        """Returns the headers of a request to an endpoint."""
        left = max(1, int(dispatch.deadline.remaining() * 1000))
        headers = list(dispatch.headers.forwarded_headers)
        if dispatch.resume_after is not None:
            headers = [h for h in headers if h[0] != LAST_EVENT_ID]
            headers.append((LAST_EVENT_ID, b"%d" % dispatch.resume_after))
        headers.append((TIME_LEFT, b"%d" % left))
        headers.append((EXPECT_ENDPOINT, dispatch.endpoint.encode()))
        if dispatch.organisation:
            headers.append((ORGANISATION, dispatch.organisation.encode()))
        if dispatch.weights:
            headers.append((EXPECT_WEIGHTS, b"%d" % dispatch.weights))
        if dispatch.cache_scope:
            headers.append((SALT, dispatch.cache_scope.encode()))
        if dispatch.priority is not None:
            headers.append((PRIORITY, b"%d" % dispatch.priority))
        if dispatch.fetch_from:
            headers.append((FETCH_FROM, dispatch.fetch_from.encode()))
        if dispatch.save_to:
            headers.append((SAVE_TO, dispatch.save_to.encode()))
        return headers

    def read_response(self, head: http1.Head) -> messages.ResponseHead:
        """Returns the decoded status and headers of an endpoint's response."""
        first_values: dict[bytes, bytes] = {}
        for name, value in head.headers:
            first_values.setdefault(name, value)
        is_not_run = head.status == 421 or NOT_RUN in first_values
        return messages.ResponseHead(
            status=head.status,
            request_id=first_values.get(REQUEST_ID, b"").decode(
                errors="replace"
            ),
            is_stamped=STAMP in first_values,
            is_not_run=is_not_run,
            is_event_stream=first_values.get(b"content-type", b"").startswith(
                b"text/event-stream"
            ),
            is_encoded=b"content-encoding" in first_values,
            weights=_read_number(first_values.get(WEIGHTS, b"")),
            load=_read_load(first_values.get(LOAD, b"")),
            is_leaving=_read_leaving(head.headers),
            retry_after_s=_read_retry_after(head.headers),
            forwarded_headers=tuple(
                (name, value)
                for name, value in head.headers
                if name not in _HOP_BY_HOP
            ),
        )

    def write_refusal(
        self, request_id: str, retry_after_s: float | None
    ) -> http1.Headers:
        """Returns the headers of a refusal by the gateway itself."""
        headers: list[tuple[bytes, bytes]] = []
        if request_id:
            headers.append((REQUEST_ID, request_id.encode()))
        if retry_after_s is not None:
            rounded_up_s = math.ceil(retry_after_s * 100) / 100
            headers.append((RETRY_AFTER, b"%.2f" % rounded_up_s))
        return headers


def _list_connection_options(connection: bytes) -> frozenset[bytes]:
    """Returns the headers that concern this connection only."""
    return frozenset(
        token.strip().lower() for token in connection.split(b",") if token
    )


def _read_host(value: bytes) -> str:
    host = value.decode("latin-1").strip().lower()
    return host.partition(":")[0]


def _read_key(value: bytes) -> str:
    if value[: len(_KEY_SCHEME)].lower() != _KEY_SCHEME:
        return ""
    return value[len(_KEY_SCHEME) :].strip().decode("latin-1")


def _read_deadline(value: bytes | None, arrived: float) -> clocks.Deadline:
    if value is None:
        return clocks.Deadline(arrived + _DEFAULT_TIME_LEFT_MS / 1000)
    try:
        left = float(value)
    except ValueError as error:
        raise messages.MalformedError("the time left is no number") from error
    if math.isnan(left):
        raise messages.MalformedError("the time left is no number")
    left = min(max(left, 0.0), _MAX_TIME_LEFT_MS)
    return clocks.Deadline(arrived + left / 1000)


def _read_prompt(first_values: dict[bytes, bytes]) -> messages.Prompt | None:
    """Returns the prompt that the headers describe, if any."""
    parts = first_values.get(PREFIX)
    tokens = first_values.get(TOKENS)
    if parts is None and tokens is None:
        return None
    try:
        listed = []
        for entry in (parts or b"").split(b","):
            if not entry.strip():
                continue
            part, _, count = entry.strip().partition(b":")
            listed.append(
                messages.PromptPart(part.decode(), _parse_tokens(count))
            )
        prompt_tokens, _, answer_tokens = (tokens or b"0,0").partition(b",")
        return messages.Prompt(
            model=first_values.get(MODEL, b"").decode(),
            tokens=_parse_tokens(prompt_tokens),
            answer_tokens=_parse_tokens(answer_tokens or b"0"),
            parts=tuple(listed),
        )
    except ValueError as error:
        raise messages.MalformedError(
            "the prompt's parts or tokens cannot be read"
        ) from error


def _read_event_id(value: bytes | None) -> int | None:
    if value is None:
        return None
    try:
        return _parse_number(value, _MAX_DIGITS)
    except ValueError as error:
        raise messages.MalformedError(
            "the last event's id is no number"
        ) from error


def _parse_tokens(value: bytes) -> int:
    """Returns a number of tokens.

    Raises:
        ValueError: If the value is none that a prompt can have.
    """
    return _parse_number(value, _MAX_TOKEN_DIGITS)


def _parse_number(value: bytes, max_digits: int) -> int:
    """Returns a decimal number.

    Raises:
        ValueError: If the value is none, or too long.
    """
    digits = value.strip()
    if not digits.isdigit() or len(digits) > max_digits:
        raise ValueError("no decimal number of the expected length")
    return int(digits)


def _read_number(value: bytes) -> int:
    """Returns a decimal number; 0 if the value is none or too long."""
    is_number = value.isdigit() and len(value) <= _MAX_DIGITS
    return int(value) if is_number else 0


def _read_load(value: bytes) -> messages.Load | None:
    """Decodes ``RUNNING,WAITING,SLOTS`` or ``RUNNING,WAITING,SLOTS,PERCENT``.

    The last is how long work takes there at the moment, relative to usual. No
    work takes no time, so that 0 counts as not stated.

    Returns:
        The load; None for any other value.
    """
    stripped = [field.strip() for field in value.split(b",")]
    are_numbers = all(f.isdigit() and len(f) <= _MAX_DIGITS for f in stripped)
    if len(stripped) not in _LOAD_FIELDS or not are_numbers:
        return None
    running, waiting, slots, *percent = (int(field) for field in stripped)
    slowness = percent[0] / _USUAL_PERCENT if any(percent) else None
    return messages.Load(running, waiting, slots, slowness)


def _read_leaving(headers: http1.Headers) -> bool:
    """Returns whether an endpoint states that it is leaving."""
    stated = [
        value.strip()
        for name, field in headers
        if name == LEAVING
        for value in field.split(b",")
    ]
    for value in stated:
        if value not in (b"0", b"1"):
            _log_ignored(LEAVING, value[:_MAX_LOGGED])
    return b"1" in stated


def _read_retry_after(headers: http1.Headers) -> float | None:
    """Returns the longest time that an endpoint states, in seconds, if any.

    Dates, negative numbers and the like are ignored.
    """
    longest_s = None
    for name, field in headers:
        if name != RETRY_AFTER:
            continue
        value = field.strip()
        if _RETRY_AFTER_VALUE.fullmatch(value):
            longest_s = max(float(value), longest_s or 0.0)
        else:
            _log_ignored(RETRY_AFTER, value[:_MAX_LOGGED])
    return longest_s


@functools.lru_cache(maxsize=_LOGGED_VALUES)
def _log_ignored(name: bytes, value: bytes) -> None:
    """Logs that a value is ignored, unless it was logged lately.

    An endpoint may send it in each response.
    """
    _log.warning("Ignored {} in {}.", value, name)

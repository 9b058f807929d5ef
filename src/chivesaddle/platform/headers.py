"""Decodes and encodes the headers of callers' requests and servers' responses."""

import re

from chivesaddle.core.ids import BackendServerId, ModelId, RequestId
from chivesaddle.core.serving_model import CallerKey, PromptPartId
from chivesaddle.forwarding.messages import (
    CallerRequest,
    ColdTime,
    InvalidValue,
    PassOptions,
    PromptPart,
    RequestLimit,
    RetryAfter,
    SendOptions,
    ServerLoad,
    ServerResponse,
)
from chivesaddle.http1 import HeaderList, Request, ResponseHead

_PREFIX = b"x-chivesaddle-"
# Unique per attempt: a retry by the caller has a new id.
REQUEST_ID = _PREFIX + b"attempt-identifier"
TIME_LIMIT = _PREFIX + b"deadline-milliseconds"
PROMPT_PARTS = _PREFIX + b"prompt-prefix"
# Prompt tokens and maximum output tokens, separated by a comma.
TOKENS = _PREFIX + b"token-counts"
MODEL = _PREFIX + b"model"
ACCOUNT = _PREFIX + b"tenant"
EXPECTED_SERVER = _PREFIX + b"expected-instance"
# Id of the backend server that sent the response.
ANSWERING_SERVER = _PREFIX + b"instance"
# Running requests, waiting requests and slots, separated by commas. Servers on shared
# machines add how long work takes there now, in per cent of the usual time.
LOAD = _PREFIX + b"server-load"
# Requests per second (a decimal number) that the server takes from all daemons.
SERVER_LIMIT = b"server-limit"
# "1" in all responses of a server that is about to end.
SERVER_LEAVING = b"server-leaving"
# Milliseconds for which the server is still cold, 0 if it is not; in health responses.
COLD = _PREFIX + b"cold-milliseconds"
SIGNATURE = _PREFIX + b"server-signature"
NOT_EXECUTED = _PREFIX + b"not-executed"
CACHE_SCOPE = _PREFIX + b"cache-salt"
# 0 is the highest priority, 9 the lowest.
PRIORITY = _PREFIX + b"request-priority"
FETCH_FROM = _PREFIX + b"kv-fetch-from"
SAVE_TO = _PREFIX + b"kv-save-to"
FETCH_UNTIL = _PREFIX + b"kv-until"
BACKUP_TO = _PREFIX + b"kv-backup"
CONTINUE_FROM = b"kv-from"
PIN_DURATION = _PREFIX + b"pin-milliseconds"
HOLD = _PREFIX + b"hold"
# A single integer, despite the plural header name.
WEIGHT_VERSION = _PREFIX + b"weight-versions"
EXPECTED_VERSION = _PREFIX + b"expected-version"
LAST_EVENT = b"last-event-id"
# Id of the caller's request whose response had the first event of the stream.
RESUMES = b"resumes"
# Between daemons: how many servers may have run a request that is passed on.
EARLIER_RUNS = b"passed-on-after-runs"

_HOP_BY_HOP_HEADERS = {
    b"connection",
    b"keep-alive",
    b"proxy-authenticate",
    b"proxy-authorization",
    b"proxy-connection",
    b"te",
    b"trailer",
    b"transfer-encoding",
    b"upgrade",
    b"expect",
    b"content-length",
}
# Set only by the daemon; values from callers are dropped.
_DAEMON_HEADERS = {
    b"authorization",
    TIME_LIMIT,
    ACCOUNT,
    EXPECTED_SERVER,
    CACHE_SCOPE,
    PRIORITY,
    FETCH_FROM,
    SAVE_TO,
    FETCH_UNTIL,
    BACKUP_TO,
    CONTINUE_FROM,
    PIN_DURATION,
    HOLD,
    EXPECTED_VERSION,
    EARLIER_RUNS,
}
_NOT_PASSED_HEADERS = _HOP_BY_HOP_HEADERS | _DAEMON_HEADERS
# A server that refuses for longer than a day is not refusing for lack of capacity.
MAX_RETRY_AFTER_S = 24 * 3_600.0
# Longer numbers are not counts of requests.
MAX_COUNT_DIGITS = 9
_KEEP_ALIVE_TIMEOUT = re.compile(r"timeout=(\d+)")


def decode_request(request: Request) -> CallerRequest:
    """Decode a caller's request; malformed optional headers are treated as absent."""
    items = request.headers.items
    first = _first_values(items)
    dropped = _NOT_PASSED_HEADERS
    if b"connection" in first:
        dropped = dropped | _connection_options(items)
    host = (_text(first.get(b"host")) or "").rpartition(":")
    host_name = (host[0] if host[1] and host[2].isdigit() else "".join(host)).lower()
    time_limit_ms = _parse_number(_text(first.get(TIME_LIMIT)))
    prompt_tokens, output_tokens = _parse_token_counts(_text(first.get(TOKENS)))
    model = _text(first.get(MODEL))
    return CallerRequest(
        id=RequestId(_text(first.get(REQUEST_ID)) or ""),
        method=request.method,
        target=request.target,
        host=host_name,
        passed_headers=[item for item in items if item[0] not in dropped],
        body=request.body,
        key=_parse_bearer_key(_text(first.get(b"authorization"))),
        time_limit_s=None if time_limit_ms is None else time_limit_ms / 1_000,
        model=None if model is None else ModelId(model),
        prompt_tokens=prompt_tokens,
        output_tokens=output_tokens,
        parts=_parse_parts(_text(first.get(PROMPT_PARTS))),
        resume_after=_text(first.get(LAST_EVENT)) or None,
        resumed_request=_parse_request_id(_text(first.get(RESUMES))),
        earlier_runs=_parse_integer(_text(first.get(EARLIER_RUNS))),
    )


def encode_server_headers(request: CallerRequest, options: SendOptions) -> HeaderList:
    """Return the headers of a request to a backend server."""
    headers = [
        item
        for item in request.passed_headers
        if options.resume_after is None or item[0] != LAST_EVENT
    ]

    def add(name: bytes, value: object) -> None:
        if value is not None:
            headers.append((name, str(value).encode("latin-1")))

    add(EXPECTED_SERVER, options.server)
    if options.time_left_s is not None:
        add(TIME_LIMIT, max(1, int(options.time_left_s * 1_000)))
    add(ACCOUNT, options.account)
    add(EXPECTED_VERSION, options.weight_version)
    add(PRIORITY, options.priority)
    add(CACHE_SCOPE, options.cache_scope)
    add(SAVE_TO, _join_addresses(options.save_to))
    add(FETCH_FROM, _join_addresses(options.fetch_from))
    add(LAST_EVENT, options.resume_after)
    return headers


def encode_peer_headers(request: CallerRequest, options: PassOptions) -> HeaderList:
    """Return the headers of a request that is passed on to another daemon."""
    replaced = set() if options.resume_after is None else {LAST_EVENT, RESUMES}
    headers = [item for item in request.passed_headers if item[0] not in replaced]
    time_left_ms = max(1, int(options.time_left_s * 1_000))
    headers.append((TIME_LIMIT, str(time_left_ms).encode()))
    headers.append((EARLIER_RUNS, str(options.runs).encode()))
    if request.key is not None:
        headers.append((b"authorization", f"Bearer {request.key}".encode("latin-1")))
    if options.resume_after is not None:
        headers.append((LAST_EVENT, options.resume_after.encode("latin-1")))
        if options.resumed_request is not None:
            headers.append((RESUMES, options.resumed_request.encode("latin-1")))
    return headers


def decode_response(head: ResponseHead) -> ServerResponse:
    """Decode the head of a backend server's response."""
    first = _first_values(head.headers)
    keep_alive = _KEEP_ALIVE_TIMEOUT.search(_text(first.get(b"keep-alive")) or "")
    request_id = _text(first.get(REQUEST_ID))
    server = _text(first.get(ANSWERING_SERVER))
    length = first.get(b"content-length")
    return ServerResponse(
        status=head.status,
        reason=head.reason,
        request_id=None if request_id is None else RequestId(request_id),
        # An empty signature is what is left of one that was cut.
        is_signed=bool(first.get(SIGNATURE)),
        was_not_executed=NOT_EXECUTED in first or head.status == 421,
        server=None if server is None else BackendServerId(server),
        load=_parse_load(_text(first.get(LOAD))),
        is_leaving=first.get(SERVER_LEAVING) == b"1",
        limit=_parse_limit(head) if SERVER_LIMIT in first else None,
        weight_version=_parse_integer(_text(first.get(WEIGHT_VERSION))),
        keep_alive_s=None if keep_alive is None else float(keep_alive[1]),
        retry_after=_parse_retry_after(_text(first.get(b"retry-after"))),
        framing=head.framing,
        content_length=None if length is None else int(length),
        passed_headers=[
            item for item in head.headers if item[0] not in _HOP_BY_HOP_HEADERS
        ],
        cold=_parse_cold(_text(first.get(COLD))),
    )


def _first_values(items: HeaderList) -> dict[bytes, bytes]:
    """Return the first value of each header."""
    return dict(reversed(items))


def _text(value: bytes | None) -> str | None:
    return None if value is None else value.decode("latin-1")


def _connection_options(items: HeaderList) -> set[bytes]:
    """Return the headers that ``Connection`` declares to be hop-by-hop.

    Headers that identify the request are excluded: a caller that names them there would
    otherwise remove what the backend server needs to answer it.
    """
    names = {
        name.strip().lower()
        for key, value in items
        if key == b"connection"
        for name in value.split(b",")
    }
    return names - {REQUEST_ID, MODEL, TOKENS, PROMPT_PARTS, b"host"}


def _parse_request_id(value: str | None) -> RequestId | None:
    return RequestId(value) if value else None


def _parse_bearer_key(value: str | None) -> CallerKey | None:
    scheme, _, key = (value or "").partition(" ")
    return CallerKey(key.strip()) if scheme.lower() == "bearer" else None


def _parse_parts(value: str | None) -> tuple[PromptPart, ...]:
    parts = []
    for entry in (value or "").split(","):
        part, _, tokens = entry.strip().partition(":")
        if not part or not tokens.isdigit():
            return ()
        parts.append(PromptPart(PromptPartId(part), int(tokens)))
    return tuple(parts)


def _parse_token_counts(value: str | None) -> tuple[int, int]:
    prompt, _, output = (value or "").partition(",")
    if prompt.strip().isdigit() and output.strip().isdigit():
        return int(prompt), int(output)
    return 0, 0


def _parse_load(value: str | None) -> ServerLoad | None:
    numbers = [number.strip() for number in (value or "").split(",")]
    if len(numbers) < 3 or not all(map(_is_count, numbers[:3])):
        return None
    running, waiting, slots = (int(number) for number in numbers[:3])
    # An invalid figure, or one that is not known yet, does not invalidate the others.
    has_work_time = len(numbers) > 3 and _is_count(numbers[3])
    work_time_percent = int(numbers[3]) if has_work_time else None
    return ServerLoad(running, waiting, slots, work_time_percent or None)


def _is_count(text: str) -> bool:
    return text.isascii() and text.isdigit() and len(text) <= MAX_COUNT_DIGITS


def _parse_limit(head: ResponseHead) -> RequestLimit | InvalidValue | None:
    """Parse all values of a limit that the response names."""
    values = [value for name, value in head.headers if name == SERVER_LIMIT]
    text = b",".join(values).decode("latin-1")
    per_s = _parse_number(text)
    if per_s is None:
        return InvalidValue(text)
    return RequestLimit(per_s) if per_s else None


def _parse_retry_after(text: str | None) -> RetryAfter | InvalidValue | None:
    if text is None:
        return None
    seconds = _parse_number(text)
    if seconds is None or seconds > MAX_RETRY_AFTER_S:
        return InvalidValue(text)
    return RetryAfter(seconds)


def _parse_cold(text: str | None) -> ColdTime | InvalidValue | None:
    if text is None:
        return None
    milliseconds = _parse_number(text)
    if milliseconds is None:
        return InvalidValue(text)
    return ColdTime(milliseconds / 1_000)


def _join_addresses(values: tuple[str, ...] | None) -> str | None:
    if values is None or not any(values):
        return None
    return ",".join(value or "-" for value in values)


def _parse_number(value: str | None) -> float | None:
    try:
        number = float(value) if value else None
    except ValueError:
        return None
    return number if number is not None and 0 <= number < 1e9 else None


def _parse_integer(value: str | None) -> int | None:
    return int(value) if value and value.isdigit() else None


__all__ = [
    "decode_request",
    "decode_response",
    "encode_peer_headers",
    "encode_server_headers",
]

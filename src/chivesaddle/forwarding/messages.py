"""Decoded requests and responses that the forwarding package works with."""

from dataclasses import dataclass, field

from chivesaddle.core.ids import AccountId, BackendServerId, ModelId, RequestId
from chivesaddle.core.serving_model import CallerKey, PromptPartId
from chivesaddle.http1 import Framing, HeaderList, header_value


@dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt; requests that share a part share its KV cache."""

    id: PromptPartId
    tokens: int


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """One request of a caller, decoded.

    Attributes
    ----------
    passed_headers : list of (name, value)
        Headers that are forwarded to the backend server unchanged.
    body : bytes
        Not there any more once the request has ended.
    time_limit_s : float or None
        Time for which the caller waits after it sent the request.
    parts : tuple of PromptPart
        Parts of the prompt in order; the last one is specific to the request or its
        session.
    resume_after : str or None
        Id of the last event that the caller has received of an interrupted stream.
    resumed_request : RequestId or None
        The request whose response had the first event of that stream.
    earlier_runs : int or None
        Servers that may have run the request already, if another daemon passed it on;
        None if it comes from a caller.
    """

    id: RequestId
    method: bytes
    target: bytes
    host: str
    passed_headers: HeaderList
    body: bytes = field(repr=False)
    key: CallerKey | None
    time_limit_s: float | None
    model: ModelId | None
    prompt_tokens: int
    output_tokens: int
    parts: tuple[PromptPart, ...]
    resume_after: str | None
    resumed_request: RequestId | None
    earlier_runs: int | None = None

    def release_body(self) -> None:
        """Forget the body; it must not be used any more.

        What failed keeps the request in a cycle of errors and their frames, which stays
        until the garbage collector runs.
        """
        object.__delattr__(self, "body")

    @property
    def memory_tokens(self) -> int:
        """Maximum number of tokens of server memory that the request takes."""
        return self.prompt_tokens + self.output_tokens

    @property
    def shared_part(self) -> PromptPartId | None:
        """The last part that other requests can share, or None."""
        return self.parts[-2].id if len(self.parts) > 1 else None


@dataclass(frozen=True, slots=True)
class SendOptions:
    """What the daemon adds to a request for one backend server.

    Attributes
    ----------
    time_left_s : float or None
        Time after which the server may stop; None for no limit.
    cache_scope : str or None
        Separates cached parts by weight version and isolated account.
    save_to : tuple of str or None
        Address of the KV store for each part, empty if the part is not saved; None
        saves nothing.
    fetch_from : tuple of str or None
        Address of the source for each part, empty if the part is not fetched; None
        fetches nothing.
    resume_after : str or None
        Id of the last event already delivered, if an interrupted stream is resumed.
    """

    server: BackendServerId
    time_left_s: float | None
    account: AccountId | None = None
    weight_version: int | None = None
    priority: int | None = None
    cache_scope: str | None = None
    save_to: tuple[str, ...] | None = None
    fetch_from: tuple[str, ...] | None = None
    resume_after: str | None = None


@dataclass(frozen=True, slots=True)
class PassOptions:
    """What the daemon adds to a request that it passes on to another daemon.

    Attributes
    ----------
    time_left_s : float
        Time that the caller still waits.
    runs : int
        Servers that may have run the request already.
    resume_after, resumed_request : str or None
        Id of the last event already delivered, and the request that began the stream,
        if an interrupted stream is resumed.
    """

    time_left_s: float
    runs: int
    resume_after: str | None = None
    resumed_request: RequestId | None = None


@dataclass(frozen=True, slots=True)
class ServerLoad:
    """Load that a backend server reports.

    Attributes
    ----------
    running, waiting : int
        Requests that the server runs and queues.
    slots : int
        Requests that it runs at most.
    work_time_percent : int or None
        How long work takes on the server's machine at this moment, in per cent of the
        usual time; None if the server does not say.
    """

    running: int
    waiting: int
    slots: int
    work_time_percent: int | None = None


@dataclass(frozen=True, slots=True)
class RequestLimit:
    """Requests per second that a server takes from all daemons together."""

    per_s: float


@dataclass(frozen=True, slots=True)
class RetryAfter:
    """Time for which a server wants no further request of this daemon."""

    seconds: float


@dataclass(frozen=True, slots=True)
class ColdTime:
    """Time for which a server is still cold; 0 if it is not."""

    seconds: float


@dataclass(frozen=True, slots=True)
class InvalidValue:
    """Text of a header that has no valid value."""

    text: str


@dataclass(frozen=True, slots=True)
class ServerResponse:
    """The decoded head of a backend server's response.

    Attributes
    ----------
    request_id : RequestId or None
        The request that the response belongs to.
    is_signed : bool
        Whether the response has the server's signature.
    was_not_executed : bool
        Whether the server states that it did not run the request.
    server : BackendServerId or None
        The server that responded, if the response names it.
    passed_headers : list of (name, value)
        Headers that are forwarded to the caller.
    is_leaving : bool
        Whether the server is about to end and wants no further request.
    limit : RequestLimit, InvalidValue or None
        The limit that the server names; None if it names none.
    retry_after : RetryAfter, InvalidValue or None
        How long the server wants no further request, if it says so.
    framing : Framing
        What marks the end of the body.
    content_length : int or None
        Length of the body; None if it is chunked or ends with the connection.
    cold : ColdTime, InvalidValue or None
        How long the server is still cold, if it says so.
    """

    status: int
    reason: bytes
    request_id: RequestId | None
    is_signed: bool
    was_not_executed: bool
    server: BackendServerId | None
    load: ServerLoad | None
    is_leaving: bool
    limit: RequestLimit | InvalidValue | None
    weight_version: int | None
    keep_alive_s: float | None
    retry_after: RetryAfter | InvalidValue | None
    framing: Framing
    content_length: int | None
    passed_headers: HeaderList
    cold: ColdTime | InvalidValue | None = None

    @property
    def media_type(self) -> str | None:
        """Media type of the body in lower case, None if the response names none."""
        content_type = header_value(self.passed_headers, b"content-type")
        if content_type is None:
            return None
        return content_type.partition(";")[0].strip().lower()


__all__ = [
    "CallerRequest",
    "ColdTime",
    "HeaderList",
    "InvalidValue",
    "PassOptions",
    "PromptPart",
    "RequestLimit",
    "RetryAfter",
    "SendOptions",
    "ServerLoad",
    "ServerResponse",
]

"""State of a request that is being forwarded, and its log fields."""

from collections.abc import Callable
from dataclasses import dataclass, field

from chivesaddle.core.ids import (
    AccountId,
    BackendServerId,
    DaemonId,
    RequestId,
    ServiceId,
    SoftwareVersion,
)
from chivesaddle.core.serving_model import Account, Route
from chivesaddle.forwarding.errors import CallerLeft
from chivesaddle.forwarding.messages import CallerRequest
from chivesaddle.forwarding.response_progress import ResponseProgress
from chivesaddle.forwarding.suspects import CrashSuspects
from chivesaddle.placement import Candidate

# Ids of callers in log lines are cut to this length.
MAX_LOGGED_ID_CHARS = 64
# Parts of a prompt in one log line.
MAX_LOGGED_PARTS = 8


@dataclass(slots=True, eq=False)
class RequestContext:
    """State of a request that is being forwarded.

    Times are in seconds of the daemon's clock.

    Attributes
    ----------
    has_caller_left : callable
        Returns whether the caller has closed its connection.
    arrivals : int
        Sends for which a connection was open, so that the request reached a server.
    waited_s : float
        Time in the admission queue, in seconds.
    software_version : SoftwareVersion or None
        Version of the servers' software at which the request's stream began; None
        before its first event.
    seeks_successor : bool
        Whether another server is looked for while a silent one has the request.
    response : ResponseProgress
        Response of the attempt that has the request, or had it last.
    passed_to : list of DaemonId
        Daemons that the request was passed on to.
    given_up : list of BackendServerId
        Servers that were given up although they were still connected.
    """

    request: CallerRequest
    route: Route
    service: ServiceId
    account: Account | None
    configuration_version: int
    received_at: float
    deadline: float
    caller_deadline: float | None
    suspects: CrashSuspects
    has_caller_left: Callable[[], bool]
    sends: int = 0
    arrivals: int = 0
    runs: int = 0
    excluded: set[BackendServerId] = field(default_factory=set)
    seeks_successor: bool = False
    first_event_at: float | None = None
    waited_s: float = 0.0
    last_candidate: Candidate | None = None
    software_version: SoftwareVersion | None = None
    response: ResponseProgress = field(default_factory=ResponseProgress)
    passed_to: list[DaemonId] = field(default_factory=list)
    given_up: list[BackendServerId] = field(default_factory=list)

    @property
    def began_as(self) -> RequestId:
        """Id of the request whose response has the first event of the stream."""
        request = self.request
        if request.resume_after is not None and request.resumed_request is not None:
            return request.resumed_request
        return request.id

    @property
    def account_id(self) -> AccountId | None:
        """The client account of the request, if it has one."""
        return None if self.account is None else self.account.id

    def check_caller_waits(self) -> None:
        """Raise `CallerLeft` if nobody waits for a response."""
        if self.has_caller_left():
            raise CallerLeft("The caller left before the request was sent")

    def response_fields(self) -> dict[str, object]:
        """Return log fields about how the last response was framed and ended."""
        if self.response.framing is None:
            return {}
        return {
            "framing": self.response.framing.value,
            "unfinished_bytes": self.response.unfinished_bytes,
        }

    def break_fields(self, now: float) -> dict[str, object]:
        """Return log fields about what a server had begun when it broke."""
        began_at = self.response.began_at
        return {
            "parts": [part.id for part in self.request.parts[:-1][:MAX_LOGGED_PARTS]],
            "answered_ms": None if began_at is None else round((now - began_at) * 1e3),
        }

    def silent_ms(self, now: float) -> int | None:
        """Return the time since the last server's latest event, None before it."""
        event_at = self.response.last_event_at
        return None if event_at is None else round((now - event_at) * 1e3)

    def resumption_fields(self) -> dict[str, object]:
        """Return log fields about the stream that the caller resumes."""
        if self.request.resume_after is None:
            return {}
        resumes = self.request.resumed_request
        return {
            "resumes": None if resumes is None else resumes[:MAX_LOGGED_ID_CHARS],
            "resume_after": self.request.resume_after[:MAX_LOGGED_ID_CHARS],
        }

    def log_fields(self, now: float) -> dict[str, object]:
        """Return log fields about the last choice of a server."""
        fields: dict[str, object] = {
            "target_ms": round(self.route.target_s * 1_000),
            "waited_ms": round(self.waited_s * 1_000),
        }
        fields |= self.resumption_fields()
        if self.passed_to:
            fields["passed_to"] = self.passed_to
        if self.given_up:
            fields["given_up"] = self.given_up
        if self.request.earlier_runs is not None:
            fields["earlier_runs"] = self.request.earlier_runs
        candidate = self.last_candidate
        if candidate is None:
            return fields
        load_age_s = min(now - candidate.server.load_at, 1e6)
        fields |= {
            "server": candidate.server.entry.id,
            "software": candidate.server.entry.software_version,
            "predicted_ms": round(candidate.predicted_ms),
            "known": candidate.load.log_fields(),
            "load_age_ms": round(load_age_s * 1_000),
        }
        if candidate.speed_factor is not None:
            fields["speed_factor"] = round(candidate.speed_factor, 2)
        if self.first_event_at is not None:
            fields["first_ms"] = round((self.first_event_at - self.received_at) * 1_000)
        fields |= self.response_fields()
        if candidate.plan is not None:
            fields |= {
                "weights": candidate.version,
                "shared_part": self.request.shared_part,
                "read_tokens": candidate.plan.read_tokens,
                "shared_read_tokens": candidate.plan.shared_read_tokens,
                "transfer_ms": round(candidate.plan.transfer_ms),
            }
        return fields


__all__ = ["RequestContext"]

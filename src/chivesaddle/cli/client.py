"""Client of the operator API that tries several daemons in order."""

import json
from collections.abc import Coroutine
from typing import Any, Protocol, TypeVar

import treq
from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectError
from twisted.python.failure import Failure

from chivesaddle.core.aio import Clock, start, with_deadline
from chivesaddle.core.errors import ChivesaddleError
from chivesaddle.core.objects import ObjectApi

T = TypeVar("T")

# Confirming a plan makes several platform calls and then waits up to 9 s for a majority
# of the daemons.
CALL_TIMEOUT_S = 20.0
CONNECT_TIMEOUT_S = 3.0


class CommandError(ChivesaddleError):
    """A command failed; the message and remedy are printed to standard error."""

    code = "command_failed"


class Runtime(Protocol):
    """HTTP client, clock and event loop with which a command runs."""

    @property
    def clock(self) -> Clock:
        """Clock on which deadlines are expressed."""

    @property
    def http(self) -> Any:
        """Client with the ``request`` method of `treq.client.HTTPClient`."""

    def open_store(self, url: str) -> ObjectApi:
        """Return a client of the platform's store."""

    def run(self, coroutine: Coroutine[Any, Any, T]) -> T:
        """Run a Twisted coroutine until it completes; return its result."""


class ReactorRuntime:
    """Runs one command on Twisted's global reactor, which cannot be restarted."""

    def __init__(self) -> None:
        from treq.client import HTTPClient
        from twisted.internet import reactor
        from twisted.web.client import Agent

        self._reactor: Any = reactor
        self.clock: Clock = self._reactor
        agent: Any = Agent(self._reactor, connectTimeout=CONNECT_TIMEOUT_S)
        self.http: Any = HTTPClient(agent)

    def open_store(self, url: str) -> ObjectApi:
        """Return a client of the platform's store at ``http://ip:port``."""
        from chivesaddle.platform import StoreClient

        return StoreClient.from_config(url, self._reactor)

    def run(self, coroutine: Coroutine[Any, Any, T]) -> T:
        """Run a coroutine; raise KeyboardInterrupt if the user interrupts it."""
        results: list[Any] = []

        def stop_reactor(result: Any) -> None:
            results.append(result)
            self._reactor.stop()

        def start_coroutine() -> None:
            deferred: Deferred[T] = start(coroutine)
            deferred.addBoth(stop_reactor)

        self._reactor.callWhenRunning(start_coroutine)
        self._reactor.run()
        if not results:
            raise KeyboardInterrupt
        if isinstance(results[0], Failure):
            results[0].raiseException()
        return results[0]


class OperatorClient:
    """Calls the operator API of the first daemon that is available.

    If a daemon cannot be reached or responds with status 503, the next one is tried.
    Repeating a call on another daemon is safe: a plan changes nothing until it is
    confirmed, confirming is idempotent, and so is storing a prompt, whose id the
    command chooses.

    Parameters
    ----------
    runtime : Runtime
        HTTP client and clock.
    urls : list of str
        Base URLs in the order in which they are tried.
    key : str
        Operator key.
    """

    def __init__(self, runtime: Runtime, urls: list[str], key: str) -> None:
        if not urls:
            raise CommandError(
                "No server URL is given", remedy="Pass --url or set CHIVESADDLE_URL"
            )
        if not key:
            raise CommandError(
                "No operator key is given", remedy="Pass --key or set CHIVESADDLE_KEY"
            )
        self._runtime = runtime
        self.clock = runtime.clock
        self._urls = [url.rstrip("/") for url in urls]
        self._key = key

    async def call(
        self,
        method: str,
        path: str,
        body: Any = None,
        params: dict[str, str] | None = None,
    ) -> Any:
        """Return the JSON response to a request.

        Raises
        ------
        CommandError
            The request failed. In this order: the first error that leaves the outcome
            unknown, the last daemon's error, or that no daemon could be reached.
        """
        failures: list[str] = []
        last_error: CommandError | None = None
        outcome_unknown: CommandError | None = None
        for url in self._urls:
            try:
                status, data = await self._call_daemon(url + path, method, body, params)
            except Exception as failure:
                failures.append(f"{url}: {_describe_failure(failure)}")
                if method != "GET" and not isinstance(failure, ConnectError):
                    outcome_unknown = outcome_unknown or _outcome_unknown_error(
                        url, failure
                    )
                continue
            if status < 400:
                return data
            last_error = _command_error(status, data)
            if status != 503:
                raise last_error
            if _error_code(data).endswith("outcome_unknown"):
                outcome_unknown = outcome_unknown or last_error
        # An earlier daemon may have carried out the request although a later one
        # rejected it, so an unknown outcome is reported before a rejection.
        raise (
            outcome_unknown
            or last_error
            or CommandError(
                "No daemon can be reached: " + "; ".join(failures),
                remedy="Check the URLs in --url or CHIVESADDLE_URL",
            )
        )

    async def _call_daemon(
        self, url: str, method: str, body: Any, params: dict[str, str] | None
    ) -> tuple[int, Any]:
        async def send_request() -> tuple[int, Any]:
            response = await self._runtime.http.request(
                method,
                url,
                params=params or {},
                headers={"Authorization": f"Bearer {self._key}"},
                data=b"" if body is None else json.dumps(body).encode(),
                allow_redirects=False,
            )
            return response.code, json.loads(await treq.content(response))

        deadline = self.clock.seconds() + CALL_TIMEOUT_S
        return await with_deadline(self.clock, deadline, start(send_request()), "call")


def _describe_failure(failure: Exception) -> str:
    return str(failure).rstrip(".") or type(failure).__name__


def _outcome_unknown_error(url: str, failure: Exception) -> CommandError:
    return CommandError(
        f"{url} may have carried out the request: {_describe_failure(failure)}",
        remedy="Run the command again; repeating a confirm is safe",
    )


def _error_code(data: Any) -> str:
    error = data.get("error") if isinstance(data, dict) else None
    return str(error.get("code", "")) if isinstance(error, dict) else ""


def _command_error(status: int, data: Any) -> CommandError:
    error = data.get("error") if isinstance(data, dict) else None
    if not isinstance(error, dict):
        return CommandError(f"The daemon responded with status {status}")
    field_suffix = f" (field {error['field']})" if error.get("field") else ""
    return CommandError(
        f"{error.get('message', status)}{field_suffix} [{error.get('code', status)}]",
        remedy=error.get("remedy", ""),
    )


__all__ = ["CommandError", "OperatorClient", "ReactorRuntime", "Runtime"]

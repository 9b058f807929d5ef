"""Client of the operators' API that tries several daemons in order."""

import json
from collections.abc import Coroutine
from typing import Any, Protocol, TypeVar

import treq
from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectError
from twisted.python.failure import Failure

from chivesaddle.core.aio import Clock, start, with_deadline
from chivesaddle.core.errors import ChivesaddleError

T = TypeVar("T")

# A confirm waits up to 9 s for a majority after up to several platform calls.
CALL_S = 20.0
CONNECT_S = 3.0


class CommandError(ChivesaddleError):
    """A command failed; shown with its remedy on standard error."""

    code = "command_failed"


class Driver(Protocol):
    """What runs commands: an HTTP client, a clock and an event loop."""

    @property
    def clock(self) -> Clock:
        """Clock of deadlines."""

    @property
    def http(self) -> Any:
        """Client with the ``request`` method of `treq.client.HTTPClient`."""

    def run(self, coroutine: Coroutine[Any, Any, T]) -> T:
        """Run a Twisted coroutine to its end."""


class ReactorDriver:
    """Runs one command on Twisted's reactor."""

    def __init__(self) -> None:
        from treq.client import HTTPClient
        from twisted.internet import reactor
        from twisted.web.client import Agent

        self._reactor: Any = reactor
        self.clock: Clock = self._reactor
        agent: Any = Agent(self._reactor, connectTimeout=CONNECT_S)
        self.http: Any = HTTPClient(agent)

    def run(self, coroutine: Coroutine[Any, Any, T]) -> T:
        """Run a coroutine; an interrupt by the user ends it."""
        results: list[Any] = []

        def finish(result: Any) -> None:
            results.append(result)
            self._reactor.stop()

        def begin() -> None:
            work: Deferred[T] = start(coroutine)
            work.addBoth(finish)

        self._reactor.callWhenRunning(begin)
        self._reactor.run()
        if not results:
            raise KeyboardInterrupt
        if isinstance(results[0], Failure):
            results[0].raiseException()
        return results[0]


class OperatorClient:
    """Calls the operators' API of the first daemon that can answer.

    A daemon that cannot be reached or answers 503 is skipped. Repeating a call on
    another daemon is safe: a second plan changes nothing, confirms are idempotent, and
    prompts are created under an id chosen here.

    Parameters
    ----------
    driver : Driver
        HTTP client and clock.
    urls : list of str
        Base URLs in the order in which they are tried.
    key : str
        Operator key.
    """

    def __init__(self, driver: Driver, urls: list[str], key: str) -> None:
        if not urls:
            raise CommandError(
                "No server URL is given", remedy="Pass --url or set CHIVESADDLE_URL"
            )
        if not key:
            raise CommandError(
                "No operator key is given", remedy="Pass --key or set CHIVESADDLE_KEY"
            )
        self._driver = driver
        self.clock = driver.clock
        self._urls = [url.rstrip("/") for url in urls]
        self._key = key

    async def call(
        self,
        method: str,
        path: str,
        body: Any = None,
        params: dict[str, str] | None = None,
    ) -> Any:
        """Return the JSON answer of a call.

        Raises
        ------
        CommandError
            The last daemon's error, or that no daemon could be reached.
        """
        failures: list[str] = []
        refused: CommandError | None = None
        uncertain: CommandError | None = None
        for url in self._urls:
            try:
                status, data = await self._call_one(url + path, method, body, params)
            except Exception as failure:
                failures.append(f"{url}: {_reason(failure)}")
                if method != "GET" and not isinstance(failure, ConnectError):
                    uncertain = uncertain or _uncertain(url, failure)
                continue
            if status < 400:
                return data
            refused = _error(status, data)
            if status != 503:
                raise refused
            if _code(data).endswith("outcome_unknown"):
                uncertain = uncertain or refused
        # A later refusal does not prove that an earlier daemon did nothing.
        raise (
            uncertain
            or refused
            or CommandError(
                "No daemon can be reached: " + "; ".join(failures),
                remedy="Check the URLs in --url or CHIVESADDLE_URL",
            )
        )

    async def _call_one(
        self, url: str, method: str, body: Any, params: dict[str, str] | None
    ) -> tuple[int, Any]:
        async def exchange() -> tuple[int, Any]:
            response = await self._driver.http.request(
                method,
                url,
                params=params or {},
                headers={"Authorization": f"Bearer {self._key}"},
                data=b"" if body is None else json.dumps(body).encode(),
                allow_redirects=False,
            )
            return response.code, json.loads(await treq.content(response))

        deadline = self.clock.seconds() + CALL_S
        return await with_deadline(self.clock, deadline, start(exchange()), "call")


def _reason(failure: Exception) -> str:
    return str(failure).rstrip(".") or type(failure).__name__


def _uncertain(url: str, failure: Exception) -> CommandError:
    return CommandError(
        f"{url} may have carried out the request: {_reason(failure)}",
        remedy="Run the command again; repeating a confirm is safe",
    )


def _code(data: Any) -> str:
    error = data.get("error") if isinstance(data, dict) else None
    return str(error.get("code", "")) if isinstance(error, dict) else ""


def _error(status: int, data: Any) -> CommandError:
    error = data.get("error") if isinstance(data, dict) else None
    if not isinstance(error, dict):
        return CommandError(f"The daemon answered status {status}")
    where = f" (field {error['field']})" if error.get("field") else ""
    return CommandError(
        f"{error.get('message', status)}{where} [{error.get('code', status)}]",
        remedy=error.get("remedy", ""),
    )


__all__ = ["CommandError", "Driver", "OperatorClient", "ReactorDriver"]

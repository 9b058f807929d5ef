"""Keeps each stream at the software version that began it."""

from chivesaddle.core.ids import SoftwareVersion
from chivesaddle.core.logs import ComponentLogger
from chivesaddle.core.serving_model import RouteKind
from chivesaddle.forwarding.request_context import RequestContext
from chivesaddle.forwarding.stream_origins import StreamOrigins, stream_key
from chivesaddle.placement import ServerTable

log = ComponentLogger("forward")


class StreamSoftware:
    """Sets the software version at which requests for streams go on.

    Parameters
    ----------
    origins : StreamOrigins
        Software versions at which streams began.
    servers : ServerTable
        Backend servers.
    """

    def __init__(self, origins: StreamOrigins, servers: ServerTable) -> None:
        self._origins = origins
        self._servers = servers

    async def resume(self, context: RequestContext, *, has_begun: bool = False) -> None:
        """Set version and service of a stream that goes on, unless they are known.

        Parameters
        ----------
        has_begun : bool
            Whether the caller has events of the response. Their version is not known
            here if they came through another daemon.

        Raises
        ------
        NotRun
            If it is not known where the stream began.
        """
        request = context.request
        is_known = context.software_version is not None
        if context.route.kind is not RouteKind.STREAM or is_known:
            return
        if request.resume_after is not None:
            began_as = request.resumed_request
        elif has_begun:
            began_as = request.id
        else:
            return
        origin = await self._origins.find(context.account_id, began_as, context.service)
        context.software_version = origin.version
        if origin.service in context.route.weight_by_service:
            context.service = origin.service
        servers = self._servers.of_service(context.service)
        log.info(
            "stream resumed",
            extra={
                "request": request.id,
                **context.resumption_fields(),
                "software": origin.version,
                "from": origin.source.value,
                "servers": sum(
                    server.entry.software_version == origin.version
                    for server in servers
                ),
                "all_servers": len(servers),
            },
        )

    def record_start(self, context: RequestContext, version: SoftwareVersion) -> None:
        """Record the version whose first event is about to be passed on."""
        if context.route.kind is not RouteKind.STREAM:
            return
        context.software_version = version
        if not context.route.may_resume:
            return
        self._origins.record_start(
            stream_key(context.account_id, context.began_as),
            context.service,
            version,
            context.caller_deadline or context.deadline,
        )


__all__ = ["StreamSoftware"]

"""A real daemon that is suspended while many callers send long bodies."""

import threading
import time

from .test_endless_servers import MAX_MEMORY_MB, fleet, peak_memory_mb
from .threaded_server import connect, encode_request

__all__ = ["fleet"]

BODY = bytes(4_000_000)
CALLERS = 30
SUSPENDED_S = 2.0


def send(fleet, number, statuses):
    with connect(fleet) as caller:
        caller.settimeout(15)
        caller.sendall(encode_request("/unsafe/x", f"long-{number}", BODY))
        statuses.append(int(caller.recv(65_536).split(b" ")[1]))


def test_memory_stays_within_the_machine(fleet):
    """Guards against a kill for memory, with which all other requests are lost."""
    for name in fleet.servers:
        fleet.set_faults(name, processing_time_s=0.7)
    (name,) = fleet.listeners
    statuses = []
    threads = [
        threading.Thread(target=send, args=(fleet, number, statuses), daemon=True)
        for number in range(CALLERS)
    ]
    fleet.processes.pause(name)
    for thread in threads:
        thread.start()
    time.sleep(SUSPENDED_S)
    fleet.processes.resume(name)
    for thread in threads:
        thread.join(20)
    assert len(statuses) == CALLERS
    assert set(statuses) <= {200, 503}
    assert statuses.count(200) >= CALLERS // 3
    assert peak_memory_mb(fleet) < MAX_MEMORY_MB

"""What membership costs by the number of members: python -m bench.slopes.members."""

from __future__ import annotations

import argparse
import time
from collections.abc import Callable

import msgspec

from bench.slopes import size
from tealcove import ids
from tealcove.backends import engine
from tealcove.dispatch import cells, holds, reading
from tealcove.membership import members, messages, ranking, revision_status
from tealcove.resources import kinds
from tealcove.storage import instances

NOW = ids.Instant(1000.0)
SUSPECT_AFTER = 1.0
FORGET_AFTER = 10.0
# Engines to one instance, at the full size; all in one pool of four.
ENGINES_AN_INSTANCE = 4.5
POOLS = 4


def heartbeat(number: int) -> messages.Heartbeat:
    """Return the heartbeat of one of many serving instances."""
    return messages.Heartbeat(
        instance=ids.InstanceId(f"instance-{number:03d}"),
        incarnation=ids.new_incarnation(),
        lifecycle=messages.Lifecycle.SERVING,
        data_centre=ids.DataCentreId(f"dc-{number % size.DATA_CENTRES}"),
        host=f"10.{number // 250}.{number % 250}.1",
        http_port=7000,
        peer_host=f"10.{number // 250}.{number % 250}.1",
        peer_port=7001,
        revision=ids.Revision(40_000),
    )


def deployment(count: int) -> members.Members:
    """Return what one instance knows of a deployment."""
    found = members.Members(heartbeat(0), SUSPECT_AFTER, FORGET_AFTER)
    for number in range(1, count):
        beat = heartbeat(number)
        found.peers[beat.instance] = members.Member(beat, NOW)
    found.notify_if_changed(NOW)
    return found


def pool(count: int) -> tuple[kinds.BackendServerSpec, ...]:
    """Return the servers of a pool."""
    return tuple(
        kinds.BackendServerSpec(
            name=f"engine-{n}",
            host=f"10.9.{n // 250}.{n % 250}",
            port=8000,
            data_centre=f"dc-{n % size.DATA_CENTRES}",
        )
        for n in range(count)
    )


def listed(count: int) -> tuple[instances.ListedInstance, ...]:
    """Return the backend servers on the platform's list."""
    return tuple(
        instances.ListedInstance(
            name=spec.name,
            kind=instances.ListedKind.BACKEND_SERVER,
            state=instances.ListedState.LIVE,
            host=spec.host,
            http_port=spec.port,
            peer_port=0,
            data_centre=ids.DataCentreId(spec.data_centre),
        )
        for spec in pool(count)
    )


def microseconds(act: Callable[[], object], seconds: float) -> float:
    """Return the mean processor time of a call in microseconds."""
    calls, began = 0, time.process_time()
    while True:
        act()
        calls += 1
        spent = time.process_time() - began
        if spent > seconds:
            return spent / calls * size.MICROSECONDS


def measured_calls(count: int) -> dict[str, Callable[[], object]]:
    """Return the calls that are measured, by name."""
    known = deployment(count)
    status = revision_status.HeartbeatStatus(known)
    beat = next(iter(known.peers.values())).heartbeat
    engines = int(count * ENGINES_AN_INSTANCE)
    servers = pool(engines // POOLS)
    found = listed(engines)
    reader = reading.Reader(None, lambda: found, holds.Holds())
    one = engine.Server(ids.BackendServerId("engine-0"), "10.9.0.0", 8001)
    near = ids.DataCentreId("dc-3")
    return {
        "take in a heartbeat": lambda: known.record_heartbeat(beat, NOW),
        "note where a revision is in force": lambda: status.note(NOW),
        "rank the dispatchers of a ticket": lambda: known.rank("m/3", NOW, near),
        "rank bare names": lambda: ranking.rank("m/3", known.peers),
        "divide a pool": lambda: cells.divide(ids.PoolId("m"), servers),
        "look for an engine on the list": lambda: reader.is_listed_as_leaving(one),
        "list the serving instances": lambda: known.serving(NOW),
    }


def heartbeat_bytes(count: int) -> dict[str, int]:
    """Return the bytes of a heartbeat bare, and with the addresses of all peers."""
    known = deployment(count)
    addresses = tuple(str(member.endpoint) for member in known.peers.values())
    full = msgspec.structs.replace(known.own, known=addresses)
    encode = msgspec.msgpack.encode
    return {"bare": len(encode(known.own)), "with addresses": len(encode(full))}


def main() -> None:
    """Print a line for each call and size."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--members", type=int, nargs="+", default=[8, 36, 145, 580])
    parser.add_argument("--seconds", type=float, default=0.2)
    parser.add_argument("--runs", type=int, default=3)
    found = parser.parse_args()
    for count in found.members:
        print(f"{count} members; bytes of a heartbeat: {heartbeat_bytes(count)}")
        for name, act in measured_calls(count).items():
            result = size.repeat(
                lambda a=act: microseconds(a, found.seconds), found.runs
            )
            print(f"  {name}: {size.format_result(result)} us")


if __name__ == "__main__":
    main()

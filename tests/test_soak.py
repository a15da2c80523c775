"""Short seeded soak tests; a seed that failed stays here with its cause."""

from __future__ import annotations

import asyncio
import contextlib
import os
import pathlib
import signal
import socket
import subprocess
import sys
import time
import unittest.mock
from collections.abc import AsyncIterator, Callable

import psutil
import pytest
from soak import (
    callers,
    deployment,
    disturbances,
    faults,
    kinds,
    leaving,
    run,
    statements,
)

from tealcove.platform import names
from tealcove.standins import poolserver
from tests import deployment as networks
from tests import platform_site


class EndedProcess:
    """A stand-in for an exited process, with the attributes that a soak uses."""

    returncode = 0
    pid = 0

    async def wait(self) -> int:
        """Return at once."""
        return self.returncode


# Seconds of faults for each seed. Leaving servers and new keys are checked only
# after 2 s.
SEEDS = {1: 3.0, 2: 3.0, 3: 10.0}
# The same with a store that comes back from copies.
RESTORED_SEEDS = {
    1: 8.0,
    4: 8.0,
    # A dispatcher that had just started granted a server's start before the last.
    9117: 14.0,
}
# The same with instances that lose their paths to servers that others reach.
PATH_SEEDS = {
    22: 10.0,
    23: 14.0,
    # An instance that had once been cut off wasn't asked for help any more.
    1021: 12.0,
    1024: 12.0,
    1025: 12.0,
    # One slow connection kept the only instance with a path from helping.
    3019: 10.0,
}
PATH_MEMBERS = 4
# The same with servers of several software versions.
VERSION_SEEDS = {11: 12.0, 13: 12.0}
VERSION_MEMBERS, VERSION_SERVERS = 4, 6
# The same with servers that crash on one part of prompts.
PART_SEEDS = {1: 14.0, 2: 14.0}
PART_MEMBERS, PART_SERVERS = 4, 8
# The same with an account that floods the servers of another one.
FLOOD_SEEDS = {1: 10.0, 2: 10.0}
# The same with servers that state their load falsely, from 6 s on.
FALSE_LOAD_SEEDS = {
    # Servers that stated falsely that they were fast were then taken for slow ones.
    2: 10.0,
    3: 10.0,
}
FALSE_LOAD_MEMBERS, FALSE_LOAD_SERVERS = 3, 4
# The same with instances of little capacity that are overloaded.
OVERLOAD_SEEDS = {1: 12.0, 2: 12.0}
OVERLOAD_MEMBERS = 4
# The same with instances that are stopped while callers keep their connections.
STOP_SEEDS = {1: 8.0, 2: 8.0}
# The same with short pauses of the instances as the only faults.
PAUSE_SEEDS = {
    1: 8.0,
    # A connection that was made in a pause was taken for a lost path.
    3: 10.0,
}


@pytest.mark.parametrize("seed", SEEDS)
async def test_promises_hold_under_faults(tmp_path: pathlib.Path, seed: int) -> None:
    verdict = await run.soak(tmp_path, seed, SEEDS[seed])
    assert verdict.broken == ()
    assert verdict.served > 0


@pytest.mark.parametrize("seed", RESTORED_SEEDS)
async def test_promises_hold_when_the_store_is_restored(
    tmp_path: pathlib.Path, seed: int
) -> None:
    verdict = await run.soak(
        tmp_path, seed, RESTORED_SEEDS[seed], kind=kinds.Kind.RESTORES
    )
    assert verdict.broken == ()
    assert verdict.returns > 0


@pytest.mark.parametrize("seed", STOP_SEEDS)
async def test_no_request_is_lost_when_instances_are_stopped(
    tmp_path: pathlib.Path, seed: int
) -> None:
    """Guards against requests without an answer on connections that callers keep."""
    verdict = await run.soak(tmp_path, seed, STOP_SEEDS[seed], kind=kinds.Kind.STOPS)
    assert verdict.broken == ()


@pytest.mark.parametrize("seed", PART_SEEDS)
async def test_a_part_that_crashes_servers_is_found(
    tmp_path: pathlib.Path, seed: int
) -> None:
    """Requests without anything in common but one part crashed all servers."""
    verdict = await run.soak(
        tmp_path, seed, PART_SEEDS[seed], PART_MEMBERS, PART_SERVERS, kinds.Kind.PARTS
    )
    assert verdict.broken == ()
    assert verdict.parts.crashes > 0
    assert verdict.parts.sound > 0


@pytest.mark.parametrize("seed", PATH_SEEDS)
async def test_callers_are_served_when_paths_are_lost(
    tmp_path: pathlib.Path, seed: int
) -> None:
    """Callers of instances without a path failed, and those of others with them."""
    verdict = await run.soak(
        tmp_path, seed, PATH_SEEDS[seed], PATH_MEMBERS, kind=kinds.Kind.PATHS
    )
    assert verdict.broken == ()
    assert verdict.cut_off > 0


@pytest.mark.parametrize("seed", PAUSE_SEEDS)
async def test_pauses_are_not_taken_for_faults_of_others(
    tmp_path: pathlib.Path, seed: int
) -> None:
    """An instance that had stood still took sound servers and paths for lost."""
    verdict = await run.soak(tmp_path, seed, PAUSE_SEEDS[seed], kind=kinds.Kind.PAUSES)
    assert verdict.broken == ()
    assert verdict.pauses > 0


@pytest.mark.parametrize("seed", FLOOD_SEEDS)
async def test_a_flooding_account_leaves_another_its_share(
    tmp_path: pathlib.Path, seed: int
) -> None:
    """One account's flood took nearly all slots, also from accounts that ask little."""
    verdict = await run.soak(tmp_path, seed, FLOOD_SEEDS[seed], kind=kinds.Kind.FLOODS)
    assert verdict.broken == ()
    assert verdict.competing > 0


@pytest.mark.parametrize("seed", FALSE_LOAD_SEEDS)
async def test_false_statements_of_load_change_nothing_for_callers(
    tmp_path: pathlib.Path, seed: int
) -> None:
    """Requests were refused, and servers unused, for what servers stated falsely."""
    verdict = await run.soak(
        tmp_path,
        seed,
        FALSE_LOAD_SEEDS[seed],
        FALSE_LOAD_MEMBERS,
        FALSE_LOAD_SERVERS,
        kinds.Kind.FALSE_LOADS,
    )
    assert verdict.broken == ()
    assert verdict.false_loads.sent_before > 0
    assert verdict.false_loads.sent > 0


@pytest.mark.parametrize("seed", OVERLOAD_SEEDS)
async def test_callers_of_overloaded_instances_are_served_by_others(
    tmp_path: pathlib.Path, seed: int
) -> None:
    """Instances took requests that they couldn't serve, or refused them ever after."""
    verdict = await run.soak(
        tmp_path,
        seed,
        OVERLOAD_SEEDS[seed],
        OVERLOAD_MEMBERS,
        kind=kinds.Kind.OVERLOADED,
    )
    assert verdict.broken == ()
    assert verdict.overloaded.sent > 0
    assert verdict.overloaded.refused > 0
    assert verdict.overloaded.returned > 0


@pytest.mark.parametrize("seed", VERSION_SEEDS)
async def test_streams_stay_at_the_version_that_began_them(
    tmp_path: pathlib.Path, seed: int
) -> None:
    """Streams that callers took up held events of two software versions."""
    verdict = await run.soak(
        tmp_path,
        seed,
        VERSION_SEEDS[seed],
        VERSION_MEMBERS,
        VERSION_SERVERS,
        kinds.Kind.VERSIONS,
    )
    assert verdict.broken == ()
    assert verdict.taken_up.went_on > 0


async def test_a_fault_while_a_member_starts_leaves_no_second_process(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a leftover process that joins a later deployment.

    A soak kills an instance and restarts it; while the new process is being created,
    the soak kills the same instance again. Both faults started a process, and only
    the last one was ended with the soak, so that a later deployment in the same
    network counted one member too many.
    """
    started = []

    async def start_slowly(*arguments: object, **found: object) -> object:
        await asyncio.sleep(0.05)
        started.append(arguments)
        return EndedProcess()

    monkeypatch.setattr(asyncio, "create_subprocess_exec", start_slowly)
    running = deployment.Deployment(tmp_path, 1, 0)
    running.members[0].write("127.0.0.1:1", [])
    running.members[0].process = EndedProcess()
    injector = faults.FaultInjector(running, 1)
    first = asyncio.create_task(injector.inject(injector.kill, 0.0))
    await asyncio.sleep(0.02)
    await asyncio.gather(first, injector.inject(injector.terminate, 0.0))
    running.network_socket.close()
    assert len(started) == 1
    assert injector.done[1] == "nothing for 0.0 s"


def test_a_signal_to_a_process_that_was_just_reaped_ends_no_soak(
    tmp_path: pathlib.Path,
) -> None:
    ended = subprocess.Popen([sys.executable, "-c", ""])
    ended.wait()
    member = deployment.Member("i-0", "127.0.0.1", tmp_path)
    member.process = EndedProcess()
    member.process.pid = ended.pid
    member.process.returncode = None
    member.send(signal.SIGCONT)


async def test_a_soak_that_is_ended_ends_its_faults() -> None:
    """Guards against a fault that starts an instance after the deployment's end."""
    begun = asyncio.Event()

    @contextlib.asynccontextmanager
    async def endless() -> AsyncIterator[str]:
        begun.set()
        await asyncio.Event().wait()
        yield "nothing"

    injector = faults.FaultInjector(None, 1)
    injector.kinds = (endless,)
    before = asyncio.all_tasks()
    task = asyncio.create_task(injector.run(100.0))
    await begun.wait()
    task.cancel()
    await asyncio.wait([task])
    assert asyncio.all_tasks() == before


async def test_a_frozen_instance_outlives_the_shell_of_the_tests(
    tmp_path: pathlib.Path,
) -> None:
    """A stopped instance was ended when the shell that had started the tests ended."""
    async with networks.Deployment(tmp_path) as running:
        pid = running.platform.process.pid
        assert os.getpgid(pid) == pid
    member = deployment.Member("i-0", "127.0.0.1", tmp_path)
    member.write("127.0.0.1:1", [])
    await member.start()
    assert os.getpgid(member.process.pid) == member.process.pid
    await member.end()


@pytest.mark.parametrize(
    ("signed_by", "late"), [("s-0", ["r-2"]), ("s-1", []), (None, [])]
)
def test_only_an_answer_of_the_server_tells_that_it_leaves(
    signed_by: str | None, late: list[str]
) -> None:
    """Guards against a verdict on an instance whose server's answer was lost."""
    answered = []
    for number, sent_at in ((1, 10.0), (2, 13.0)):
        headers = {names.SIGNATURE: poolserver.signature_of(signed_by or "")}
        answer = platform_site.Answer(200, b"", True, headers if signed_by else {})
        answered.append(
            callers.CallResult(
                f"r-{number}", "/safe/x", answer, "i-0", sent_at, sent_at + 0.1
            )
        )
    server = poolserver.PoolServer("s-0", "pool")
    server.runs = [
        poolserver.Run(one.request_id, None, "", None, {}, None, b"", one.sent_at, 1)
        for one in answered
    ]
    leave = statements.StatedLeave("s-0", 1, 9.0, 20.0)
    injector = unittest.mock.Mock(disturbances=disturbances.DisturbanceLog())
    injector.stating.leaves = [leave]
    running = unittest.mock.Mock(servers=[server])
    _, found = leaving.late_after_told(running, injector, answered)
    assert [line.split()[0] for line in found] == late


def test_a_process_left_behind_is_named_at_once() -> None:
    network, holder = networks.reserve_network()
    with socket.socket() as left:
        # Connections of an earlier deployment may still be in TIME_WAIT.
        left.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        left.bind((f"{network}.2", networks.INSTANCE_PORTS[-1]))
        left.listen()
        with pytest.raises(networks.LeftoverError, match="left behind"):
            networks.check_leftovers(network, holder)


def test_a_soak_that_is_ended_takes_its_instances_with_it(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against instances that outlive a soak and join a later deployment.

    A soak that received SIGTERM exited without ending its instances, and a later
    deployment in the same network counted members that it hadn't started.
    """
    command = [sys.executable, "-m", "soak", "--seed", "1", "--logs", str(tmp_path)]
    soaking = subprocess.Popen(command, stdout=subprocess.DEVNULL, stderr=None)
    try:
        until(lambda: len(started_in(tmp_path)) == run.MEMBERS)
        soaking.terminate()
        soaking.wait(20)
        assert started_in(tmp_path) == []
    finally:
        soaking.kill()
        for process in started_in(tmp_path):
            process.kill()


def started_in(folder: pathlib.Path) -> list[psutil.Process]:
    """Return the instance processes whose settings are in a folder."""
    found = []
    for process in psutil.process_iter(["cmdline"]):
        arguments = process.info["cmdline"] or []
        if "front" in arguments and str(folder) in arguments[-1]:
            found.append(process)
    return found


def until(check: Callable[[], bool]) -> None:
    """Wait until a check holds."""
    end = time.monotonic() + 20.0
    while not check():
        assert time.monotonic() < end
        time.sleep(0.05)

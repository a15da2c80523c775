"""Messages between instances."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import pytest
from soak import proxy

from tealcove import errors, ids
from tealcove.peers import endpoint, mesh
from tealcove.peers.tests import builders


async def until(check: Callable[[], bool]) -> None:
    async with asyncio.timeout(builders.PATIENCE):
        while True:
            if check():
                return
            await asyncio.sleep(0.01)


async def wait_for(received: list[str], wanted: str) -> None:
    await until(lambda: wanted in received)


async def test_notes_arrive_in_order_with_their_sender() -> None:
    """More notes than one batch arrive without another one to trigger them."""
    count = 2 * mesh.RECEIVE_BATCH + 50
    received: list[str] = []
    one = await builders.start_mesh("one", [])
    two = await builders.start_mesh("two", received)
    await builders.connect(one, two)
    for number in range(count):
        assert one.send(two.listen, builders.Note(text=str(number)))
    await wait_for(received, f"one: {count - 1}")
    assert received == [f"one: {number}" for number in range(count)]
    await one.stop()
    await two.stop()


async def test_a_note_to_oneself_needs_no_socket() -> None:
    received: list[str] = []
    one = await builders.start_mesh("one", received)
    one.send(one.listen, builders.Note(text="self"))
    assert received == ["one: self"]
    await one.stop()


async def test_a_bad_message_does_not_end_the_receiver() -> None:
    """An instance seems frozen to all its peers after a bad message.

    Symptom: heartbeats of healthy peers are no longer received.
    Sequence: a peer of another version sends bytes that cannot be decoded, and a
    handler fails on a message.
    Cause: an uncaught exception ends the receiving task.
    """
    received: list[str] = []
    one = await builders.start_mesh("one", [])
    two = await builders.start_mesh("two", received)
    await builders.connect(one, two)
    one.link(two.listen).send(b"\xc1")
    one.send(two.listen, builders.Note(text="after"))
    await wait_for(received, "one: after")
    two.handlers[builders.Note] = lambda sender, note: received.clear() or 1 / 0
    one.send(two.listen, builders.Note(text="fails"))
    await until(lambda: not received)
    two.handlers[builders.Note] = lambda sender, note: received.append(note.text)
    one.send(two.listen, builders.Note(text="again"))
    await wait_for(received, "again")
    await one.stop()
    await two.stop()


async def test_only_allowed_keys_can_connect() -> None:
    """A process that knows only the public key can send grants.

    Symptom: messages of a process outside the deployment are handled.
    Sequence: it connects with the right server key and a key pair of its own.
    Cause: CURVE without authentication accepts every client.
    """
    received: list[str] = []
    curve = builders.keys()
    one = await builders.start_mesh("one", [], curve)
    two = await builders.start_mesh("two", received, curve)
    stranger = await builders.start_mesh("stranger", [], builders.keys())
    stranger.security.secure_link = lambda socket: pretend(socket, stranger, one)
    await builders.connect(one, two)
    sent = []
    for _ in range(100):
        sent.append(stranger.send(two.listen, builders.Note(text="obey")))
        await asyncio.sleep(0.005)
    assert not any(sent)
    one.send(two.listen, builders.Note(text="hello"))
    await wait_for(received, "one: hello")
    one.send(two.listen, builders.Note(text="last"))
    await wait_for(received, "one: last")
    assert received == ["one: hello", "one: last"]
    for each in (one, two, stranger):
        await each.stop()


def pretend(socket: object, stranger: mesh.Mesh, one: mesh.Mesh) -> None:
    """Connect with the deployment's public key, but the stranger's key pair."""
    socket.curve_publickey = stranger.security.public_key
    socket.curve_secretkey = stranger.security.secret_key
    socket.curve_serverkey = one.security.public_key


async def test_nothing_is_queued_for_an_unreachable_peer() -> None:
    """Memory grows for as long as regions can't reach each other.

    Symptom: an instance uses gigabytes after an hour's network failure.
    Sequence: a peer is gone for good; heartbeats to it continue.
    Cause: ZeroMQ queues messages for a peer that is not connected.
    """
    received: list[str] = []
    one = await builders.start_mesh("one", [])
    two = await builders.start_mesh("two", received)
    address = two.listen
    await two.stop()
    sent = [one.send(address, builders.Note(text="lost")) for _ in range(100)]
    assert sent == [False] * 100
    assert one.dropped == 100
    await one.stop()


def test_addresses_are_checked() -> None:
    assert endpoint.parse("10.0.0.1:7001") == endpoint.Endpoint("10.0.0.1", 7001)
    with pytest.raises(errors.PeerError, match="ip:port"):
        endpoint.parse("nowhere")
    with pytest.raises(errors.PeerError, match="ip:port"):
        endpoint.parse("10.0.0.1:²")


async def test_first_messages_are_queued_until_connected() -> None:
    """The first request to a dispatcher is lost.

    Symptom: in a large group, a caller waits until its request is sent again.
    Sequence: an instance learns of another one from relays, and sends it a request.
    Cause: the first message to a peer is dropped before the connection is established.
    """
    received: list[str] = []
    one = await builders.start_mesh("one", [])
    two = await builders.start_mesh("two", received)
    one.queues_first_messages = True
    wanted = [str(number) for number in range(3)]
    for text in wanted:
        assert one.send(two.listen, builders.Note(text=text))
    await wait_for(received, "one: 2")
    assert received == [f"one: {text}" for text in wanted]
    await one.stop()
    await two.stop()


async def test_queued_messages_are_dropped_after_a_timeout() -> None:
    one = await builders.start_mesh("one", [])
    one.queues_first_messages = True
    nobody = endpoint.parse("127.0.0.1:1")
    for _ in range(mesh.MAX_PENDING):
        assert one.send(nobody, builders.Note(text="x"))
    assert not one.send(nobody, builders.Note(text="beyond the bound"))
    await until(lambda: nobody not in one.pending)
    assert one.dropped == mesh.MAX_PENDING + 1
    await one.stop()


async def test_a_stalled_connection_is_re_established() -> None:
    """One direction between two instances stays dead on a healthy network.

    Symptom: one of two instances considers the other lost, for minutes.
    Sequence: the connection from one to the other stalls with unacknowledged bytes; new
    connections work.
    Cause: nothing closes the stalled connection, so none replaces it.
    """
    received: list[str] = []
    one = await builders.start_mesh("one", [])
    two = await builders.start_mesh("two", received)
    between = proxy.Proxy(two.listen.host, two.listen.port)
    way = endpoint.parse(await between.start())
    await until(lambda: one.send(way, builders.Note(text="before")))
    await wait_for(received, "one: before")
    between.fault = proxy.ProxyFault.SILENT
    # More than all buffers hold, or the proxy would acknowledge everything.
    for _ in range(mesh.HIGH_WATER_MARK):
        one.send(way, builders.Note(text="x" * 20_000))
    silent = set(between.writers)
    await until(lambda: bool(between.writers - silent))
    between.fault = proxy.ProxyFault.NONE
    await until(lambda: one.send(way, builders.Note(text="after")))
    await wait_for(received, "one: after")
    await between.stop()
    await one.stop()
    await two.stop()


async def test_messages_before_handlers_are_registered_are_kept() -> None:
    """A starting instance cannot decode its peers' messages.

    Symptom: warnings at each start, and the first heartbeats are lost.
    Sequence: peers know the address already and send as soon as it listens.
    Cause: messages are received before the roles have registered their handlers.
    """
    received: list[str] = []
    one = await builders.start_mesh("one", [])
    two = mesh.Mesh(
        ids.InstanceId("two"), ids.new_incarnation(), endpoint.Endpoint("127.0.0.1", 0)
    )
    two.bind()
    await builders.connect(one, two)
    one.send(two.listen, builders.Note(text="early"))
    await asyncio.sleep(0.05)
    two.handle(builders.Note, lambda sender, note: received.append(note.text))
    two.start_receiving()
    await wait_for(received, "early")
    await one.stop()
    await two.stop()

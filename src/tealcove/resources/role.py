"""The configuration role of an instance: reader, store, API and compaction."""

from __future__ import annotations

import asyncio

from aiohttp import web

from tealcove import clock, ids, settings, tasks
from tealcove.membership import heartbeats, members, revision_status
from tealcove.membership import messages as membership_messages
from tealcove.peers import mesh
from tealcove.resources import (
    api,
    compaction,
    copy,
    log,
    operators,
    peers,
    reader,
    store,
)
from tealcove.storage import objects, table

COMPACTION_KEY = "compaction"
READERS_KEY = "configuration readers"
# Instances per data centre that read the head every `poll_interval`.
READERS_PER_DATA_CENTRE = 2


class ConfigurationRole:
    """Keeps the local copy up to date and serves the resource API from it."""

    def __init__(
        self,
        instance_settings: settings.Settings,
        rows: table.TableService,
        object_store: objects.ObjectStore,
        transport: mesh.Mesh,
        known_members: members.Members,
    ) -> None:
        self.members = known_members
        self.copy = copy.ConfigurationCopy()
        self.source = peers.MeshPeerSource(transport, known_members, self.copy)
        self.status = revision_status.HeartbeatStatus(known_members)
        self.log = log.ConfigurationLog(rows, object_store)
        self.reader = reader.ConfigurationReader(
            self.log,
            self.copy,
            self.source,
            clock.now(),
            reader_settings(instance_settings.configuration),
        )
        self.compactor = compaction.Compactor(self.log, self.copy)
        self.api = api.ResourceApi(
            store.ResourceStore(rows, object_store, self.copy),
            self.copy,
            operators.Operators(instance_settings.operators).authorise,
            self.status,
        )
        self.tasks: list[asyncio.Task[None]] = []
        # The revision in each peer's last heartbeat.
        self.revisions: dict[ids.InstanceId, ids.Revision] = {}

    def routes(self) -> list[web.RouteDef]:
        """Return the handlers of the resource API."""
        return self.api.routes()

    def start(self, heartbeat_service: heartbeats.HeartbeatService) -> None:
        """Subscribe to heartbeats and membership, and start the background tasks."""
        self.source.start()
        self.copy.subscribe(self.schedule_compaction)
        heartbeat_service.listeners.append(self.handle_heartbeat)
        self.members.listen(self.handle_membership_change)
        self.tasks = [
            tasks.start_loop(self.reader.run, "reader of the configuration"),
            tasks.start_loop(self.compactor.run, "compaction of the log"),
        ]

    async def stop(self) -> None:
        """End the watches and stop all tasks."""
        self.api.end_watches()
        await tasks.stop(self.tasks)

    def handle_heartbeat(self, heartbeat: membership_messages.Heartbeat) -> None:
        """Record the revision in a peer's heartbeat."""
        now = clock.now()
        self.reader.record_revision(heartbeat.revision, heartbeat.instance, now)
        # Scanning all members on each heartbeat took half a millisecond with 580.
        if self.revisions.get(heartbeat.instance) != heartbeat.revision:
            self.revisions[heartbeat.instance] = heartbeat.revision
            self.status.note(now)

    def handle_membership_change(self) -> None:
        """Determine again whether this instance is designated to read the head.

        Two in each data centre read it often and announce its revision by
        heartbeat; if all did, 580 instances would use a third of the platform's
        read rate for it.
        """
        now = clock.now()
        own = self.members.own
        ranked = self.members.rank(READERS_KEY, now, own.data_centre)
        designated = own.instance in ranked[:READERS_PER_DATA_CENTRE] or not ranked
        if designated and not self.reader.designated:
            # Ends a relaxed interval that may have just begun.
            self.reader.poll_requested.set()
        self.reader.designated = designated
        present = {heartbeat.instance for heartbeat in self.members.alive(now)}
        for instance in self.revisions.keys() - present:
            del self.revisions[instance]
        self.status.note(now)

    def may_serve(self, now: ids.Instant) -> bool:
        """Tell whether requests may be handled by the local copy.

        An isolated instance can't know whether its configuration is still current;
        accepting requests by it might apply an outdated configuration.
        """
        return self.reader.ready(now) and not self.reader.isolated(now)

    def schedule_compaction(
        self, previous: copy.Configuration, current: copy.Configuration
    ) -> None:
        """Request a compaction every `every` changes, on the top-ranked instance."""
        every = self.compactor.settings.every
        if previous.revision // every == current.revision // every:
            return
        ranked = self.members.rank(COMPACTION_KEY, clock.now())
        if ranked and ranked[0] == self.members.own.instance:
            self.compactor.requested.set()


def reader_settings(declared: settings.Configuration) -> reader.ReaderSettings:
    """Return the reader's part of the configuration settings."""
    return reader.ReaderSettings(
        poll_interval=declared.poll_interval, isolated_after=declared.isolated_after
    )

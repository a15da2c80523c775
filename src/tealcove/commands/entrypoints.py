"""`tealcove entry-points`: show the addresses that callers can use."""

from __future__ import annotations

import dataclasses

import cappa

from tealcove.commands import output, servers


@cappa.command(
    name="entry-points", help="Show the serving addresses, nearest data centre first."
)
@dataclasses.dataclass(kw_only=True)
class EntryPoints(servers.Servers):
    """Arguments of `entry-points`."""

    async def __call__(self) -> None:
        """Request and print the entry points."""
        async with self.connect() as link:
            found = await link.entry_points()
        rows: list[tuple[str, ...]] = [("URL", "INSTANCE", "DATA CENTRE")]
        for point in found.entry_points:
            rows.append((point.url, point.instance, point.data_centre))
        print(output.table(rows))
        output.progress(f"valid for {found.ttl_seconds:g} s")

"""The faults of each kind of soak, and how frequent they are."""

from __future__ import annotations

import typing

from soak import falseloads, kinds, overloading, pausing, stopping, versions

if typing.TYPE_CHECKING:
    from soak import faults

# Mean time in seconds between the starts of two faults in a soak of lost paths, and how
# many of its faults are cuts for each other kind of fault.
MEAN_PAUSE_BETWEEN_CUTS = 1.5
CUT_WEIGHT = 12
# The same beside floods, of which some must be undisturbed.
MEAN_PAUSE_BESIDE_FLOODS = 3.0
# The same for cuts of streams and replaced servers in a soak of software versions.
STREAM_CUT_WEIGHT = 8
REPLACEMENT_WEIGHT = 3
# The same for crashes of other causes in a soak of parts that crash servers.
CRASH_WEIGHT = 3


def apply(injector: faults.FaultInjector) -> None:
    """Select what an injector draws for its kind of soak; a plain one has all."""
    select = SELECTIONS.get(injector.kind)
    if select is not None:
        select(injector)


def common(injector: faults.FaultInjector) -> tuple[faults.Drawn, ...]:
    """Return the faults that are drawn in most kinds of soaks."""
    return (
        injector.kill,
        injector.freeze,
        injector.terminate,
        injector.cut_store,
        injector.store_fault,
    )


def changer(injector: faults.FaultInjector) -> versions.VersionChanger:
    """Return what replaces servers and kills instances together."""
    return versions.VersionChanger(injector.context)


def select_pauses(injector: faults.FaultInjector) -> None:
    """Select the faults of a soak of pauses."""
    injector.kinds = (injector.pausing.pause,)
    injector.mean_pause = pausing.MEAN_PAUSE_SECONDS


def select_versions(injector: faults.FaultInjector) -> None:
    """Select the faults of a soak of software versions."""
    changing = changer(injector)
    injector.kinds = (
        *(changing.cut_streams,) * STREAM_CUT_WEIGHT,
        *(changing.replace_server,) * REPLACEMENT_WEIGHT,
        changing.kill_all,
        changing.kill_several,
        *common(injector),
        injector.server_faults,
    )


def select_parts(injector: faults.FaultInjector) -> None:
    """Select the faults of a soak of parts that crash servers."""
    killing = changer(injector)
    injector.kinds = (
        *(injector.crasher.crash,) * CRASH_WEIGHT,
        killing.kill_all,
        killing.kill_several,
        *common(injector),
        injector.change_configuration,
    )


def select_floods(injector: faults.FaultInjector) -> None:
    """Select the faults of a soak of floods."""
    killing = changer(injector)
    injector.mean_pause = MEAN_PAUSE_BESIDE_FLOODS
    injector.kinds = (
        killing.kill_all,
        killing.kill_several,
        *common(injector),
        injector.change_configuration,
    )


def select_paths(injector: faults.FaultInjector) -> None:
    """Select the faults of a soak of lost paths."""
    injector.mean_pause = MEAN_PAUSE_BETWEEN_CUTS
    injector.kinds = (
        *(injector.cutting.cut,) * CUT_WEIGHT,
        injector.server_is_silent,
        *common(injector),
        injector.change_configuration,
    )


def select_false_loads(injector: faults.FaultInjector) -> None:
    """Select the faults of a soak of false statements."""
    injector.kinds = (injector.false_loads.state_falsely,)
    injector.mean_pause = falseloads.MEAN_PAUSE_SECONDS


def select_overloaded(injector: faults.FaultInjector) -> None:
    """Select the faults of a soak of overloaded instances."""
    injector.kinds = (injector.overloading.overload,)
    injector.mean_pause = overloading.MEAN_PAUSE_SECONDS


def select_stops(injector: faults.FaultInjector) -> None:
    """Select the disturbances of a soak of stops."""
    stops = stopping.StopInjector(injector.context)
    injector.kinds = (
        stops.stop,
        stops.stop,
        stops.hang_up,
        injector.change_configuration,
        injector.store_fault,
        injector.cut_store,
    )
    injector.mean_pause = stopping.MEAN_PAUSE_SECONDS


SELECTIONS = {
    kinds.Kind.PAUSES: select_pauses,
    kinds.Kind.VERSIONS: select_versions,
    kinds.Kind.PARTS: select_parts,
    kinds.Kind.FLOODS: select_floods,
    kinds.Kind.PATHS: select_paths,
    kinds.Kind.FALSE_LOADS: select_false_loads,
    kinds.Kind.OVERLOADED: select_overloaded,
    kinds.Kind.STOPS: select_stops,
}

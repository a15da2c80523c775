"""The parts of `tealcove demo`, which run in one process on loopback."""

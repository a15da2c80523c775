"""A randomized soak: real instances, faults from outside, promises checked."""

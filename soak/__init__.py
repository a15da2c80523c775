"""A randomised soak test of real instances under external faults."""

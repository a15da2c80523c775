"""Client accounts as operators see them: their counts and their ordered weights."""

"""The software versions at which callers' streams began."""

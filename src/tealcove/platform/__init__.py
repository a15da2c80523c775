"""The adapter to the users' platform: wire formats only, no decisions."""

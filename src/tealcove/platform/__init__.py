"""The adapter to the users' platform: its wire, and nothing that decides."""

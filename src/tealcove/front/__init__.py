"""An instance on the users' platform: its settings, its roles, its life."""

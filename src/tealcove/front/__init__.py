"""An instance on the users' platform: settings, roles, start and shutdown."""

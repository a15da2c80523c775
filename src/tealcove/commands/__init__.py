"""The subcommands of `tealcove`, a module each or a few that belong together."""

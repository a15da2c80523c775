"""The subcommands of `tealcove`, one module for each."""

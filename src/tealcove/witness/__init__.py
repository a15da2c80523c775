"""Records of where idempotent requests run, kept in the memory of other instances."""

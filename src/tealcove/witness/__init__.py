"""Records of where idempotent requests run, held in the memory of other instances."""

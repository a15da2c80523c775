"""Rate limits of client accounts, enforced across instances."""

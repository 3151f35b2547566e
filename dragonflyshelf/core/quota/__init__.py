"""Rate limits of workspaces, enforced across all instances."""

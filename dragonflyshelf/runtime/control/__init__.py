"""The task that owns membership, ownership and configuration."""

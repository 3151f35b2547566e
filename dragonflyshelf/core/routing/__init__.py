"""Routes, services and workspaces of the configuration."""

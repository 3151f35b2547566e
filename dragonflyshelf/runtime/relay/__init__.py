"""Tasks that exchange updates with other instances."""

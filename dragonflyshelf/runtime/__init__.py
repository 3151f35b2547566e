"""Tasks that own the sockets, timers and files around the core."""

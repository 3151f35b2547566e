"""Tasks that own sockets, timers and files round the core."""

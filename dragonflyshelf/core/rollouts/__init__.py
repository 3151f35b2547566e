"""Roll-outs: moving a service's traffic to another version."""

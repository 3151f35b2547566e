"""State of each upstream, and load balancing among them."""

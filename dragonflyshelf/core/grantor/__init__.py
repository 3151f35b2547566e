"""Leader election and assignment of shard ranges to upstreams."""

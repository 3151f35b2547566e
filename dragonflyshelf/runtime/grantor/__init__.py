"""Task that grants and releases shard ranges."""

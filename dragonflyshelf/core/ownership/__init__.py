"""Which upstream owns a shard and which instance leads it."""

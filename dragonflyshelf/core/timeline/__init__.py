"""Timeline of typed events in causal order, and its audit."""

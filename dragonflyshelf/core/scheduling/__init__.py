"""Request scheduling: admission, queueing, dispatch and retries."""

"""The decisions of one query gateway: objects without I/O that turn events into actions. See `router.Router`."""

"""The decisions of one query gateway: pure objects that turn events into actions. See `router.Router`."""

"""Fleet membership by SWIM, directed reachability, and gossip of small records. See docs/design/fleet.md."""

"""What gateways share if the site's settings allow peers: members, gossip state, overload handling, a rule set.

Without `[fleet]` in the operator's file no module of this package is imported and none of its sockets is opened. With
`[fleet]`, but without peers in the settings, the start fails. `ports` has the types that the components share.
"""

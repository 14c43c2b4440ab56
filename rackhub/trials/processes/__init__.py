"""A whole fleet of real processes on loopback: gateways, stand-in engines, a resolver, a switch and clients that retry.

Nothing that serves imports it. Docs: docs/design/rig.md, docs/operators/rig.md.
"""

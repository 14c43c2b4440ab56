"""The wires: fronts that clients speak to, clients of engines, and the resolver."""

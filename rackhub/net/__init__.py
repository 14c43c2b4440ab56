"""Network protocols: the fronts for clients, the connections to engines, and the polling of the resolver."""

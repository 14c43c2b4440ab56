"""Simulations in virtual time of how fleet size affects coordinators; the daemon imports nothing from here."""

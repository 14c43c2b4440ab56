"""Simulated ports of `rackhub.fleet` with fault injection, and trials on them in virtual time."""

"""Rigs, benches and tortures of the program. Nothing here is loaded by what serves."""

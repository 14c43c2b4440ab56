"""Measurements of gathers on real processes."""

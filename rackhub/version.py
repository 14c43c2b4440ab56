"""The version, also read by pyproject.toml."""

VERSION = "0.2.0"

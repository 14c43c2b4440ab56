"""The version, in one place; pyproject reads it from here."""

VERSION = "0.2.0"

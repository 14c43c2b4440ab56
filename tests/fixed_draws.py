"""Makes hypothesis draw the same steps wherever and beside whatever a test runs.

Beside its own constants hypothesis draws those that it finds in the local modules loaded so far. With them a search
that is told to always take the same steps takes others when a module is edited, or when other tests have loaded more.
"""

from hypothesis.internal.conjecture import providers

NO_CONSTANTS = providers.Constants()


def without_local_constants() -> None:
    """Draw from hypothesis's own constants alone, from now on."""
    providers._get_local_constants = lambda: NO_CONSTANTS

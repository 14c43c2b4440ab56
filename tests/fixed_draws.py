"""Makes hypothesis draw the same steps independently of where and with which other tests a test runs.

Hypothesis draws constants of the local modules loaded so far in addition to its own. With these a derandomized search
takes other steps after a module is edited, or when other tests have loaded more modules.
"""

from hypothesis.internal.conjecture import providers

NO_CONSTANTS = providers.Constants()


def without_local_constants() -> None:
    """Make hypothesis draw only its own constants from now on."""
    providers._get_local_constants = lambda: NO_CONSTANTS

"""Counts what is reachable from given objects, to find what is kept of requests that have ended."""

import gc
import types

from twisted.internet import reactor

# What all tests share, or what leads to it.
SHARED_TYPES = (types.ModuleType, type, types.BuiltinFunctionType, types.CodeType, types.FrameType, type(reactor))


def _referents(found):
    if isinstance(found, types.FunctionType):  # its globals are the whole module
        return [*(found.__closure__ or ()), *(found.__defaults__ or ())]
    return gc.get_referents(found)


def count_references(*roots):
    """Return the number of references in all objects reachable from the roots; a table has some for each entry."""
    seen = {id(root): root for root in roots}
    waiting = list(roots)
    references = 0
    while waiting:
        referents = _referents(waiting.pop())
        references += len(referents)
        for found in referents:
            if id(found) not in seen and not isinstance(found, SHARED_TYPES):
                seen[id(found)] = found
                waiting.append(found)
    return references


def growth(step, roots, warm_up=150, requests=600):
    """Return how many more references there are after `requests` further calls of `step` than before them."""
    for _ in range(warm_up):
        step()
    before = count_references(*roots)
    for _ in range(requests):
        step()
    return count_references(*roots) - before

"""Requests that are sent in full to several sites and answered once, with a partial result where a rule allows it.

Imported only where gather rules may be set. Where the site's settings forbid gossip, gather rules are rejected.
"""

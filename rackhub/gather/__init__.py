"""Requests that are sent in full to several sites and answered once, with a partial result where a rule allows it.

Nothing of it is imported where no gather rules are set. Where the site's settings forbid gossip, rules are refused.
"""

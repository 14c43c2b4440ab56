"""State that a coordinator keeps across restarts.

`records` defines what is stored, `writer` commits it to the embedded store and `settings` checks the `[store]` table
of the operator's file. The package is imported only if that table is present.
"""

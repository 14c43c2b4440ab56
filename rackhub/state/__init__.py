"""State that one coordinator retains over restarts.

`records` defines what is stored, `writer` commits it to the embedded store and `settings` checks the `[store]` table
of the operator's file. The package is imported only where that table is present.
"""

"""What the operators' staff use: the second address, its figures, engines taken out by hand, and what passes to the
process that replaces this one. Nothing of it is loaded where no second address is set."""

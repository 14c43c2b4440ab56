"""How the fleet scales: slopes of single costs, the page made from them, and runs of distribution at full size."""

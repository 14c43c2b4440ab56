"""The coordinator without wires: requests and attempts, their answers, deadlines and the drain."""

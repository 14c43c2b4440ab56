"""The coordinator without wire protocols: requests and attempts, their answers, deadlines and the graceful shutdown."""

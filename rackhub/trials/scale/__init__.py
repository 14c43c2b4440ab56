"""What the program costs by size: measured slopes, scale runs, and the capacity page that is filled from both."""

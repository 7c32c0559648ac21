"""Routes, and the way of an online request to a worker and back."""

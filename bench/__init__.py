"""Measure the product against its stated targets."""

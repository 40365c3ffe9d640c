"""Demonstration of the product on loopback that checks every claim it prints."""

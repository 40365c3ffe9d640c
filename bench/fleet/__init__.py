"""Run a fleet on loopback: processes for entry VMs and targets, and the platform stand-in."""

from bench.fleet._fleet import Fleet, FleetSize
from bench.fleet._processes import Process
from bench.fleet._shape import SHAPES, Place, Shape

__all__ = ["SHAPES", "Fleet", "FleetSize", "Place", "Process", "Shape"]

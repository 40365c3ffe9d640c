"""Run entry VMs as processes under random faults and check the promises from outside.

The stand-ins here speak the platform's protocol by its own names, as the adapter's other side.
"""

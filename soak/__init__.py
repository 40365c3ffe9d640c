"""Run entry VMs as processes under random faults and check their promises from the outside.

The stand-ins here implement the other side of the protocol of chervilmill.platform. They spell out
the platform's own names for paths, headers and fields.
"""

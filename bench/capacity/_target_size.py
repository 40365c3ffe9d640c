"""Define the size that the system has to support, as its users stated it."""

NODES = 800
BLOCKS = 3_400_000
SITES = 150
REGIONS = 6
FAILURE_DOMAINS = 18
LOOKUPS_PER_S = 460_000
CHANGES_PER_DAY = 420
REPLACEMENTS_PER_DAY = 87
LOOKUPS_PER_NODE_S = LOOKUPS_PER_S / NODES

# The stated size does not include the number of targets. Today 12 entry VMs serve 47 targets;
# the same ratio is assumed.
TARGETS = NODES * 47 // 12
VMS = NODES + TARGETS

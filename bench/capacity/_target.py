"""State the size that the system has to carry, as its users gave it."""

NODES = 800
BLOCKS = 3_400_000
SITES = 150
REGIONS = 6
FAILURE_DOMAINS = 18
LOOKUPS_PER_S = 460_000
CHANGES_PER_DAY = 420
REPLACEMENTS_PER_DAY = 87
LOOKUPS_PER_NODE_S = LOOKUPS_PER_S / NODES

# Today 12 entry VMs serve 47 targets; the target states no number of targets.
TARGETS = NODES * 47 // 12
VMS = NODES + TARGETS

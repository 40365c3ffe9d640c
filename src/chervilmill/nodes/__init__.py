"""Act together with the other entry VMs."""

"""What a VM knows of routes, upstreams and peers, and how old that is."""

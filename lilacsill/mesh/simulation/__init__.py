"""A world of its own for the mesh: virtual time, links, disks, kills, cuts; the rules as judges."""

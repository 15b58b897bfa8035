"""What each role of the mesh needs as the fleet grows, from 500 to 4,500 proxies, against the size planned for."""

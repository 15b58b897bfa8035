"""Load balancing at the client: decisions, an agent, a service mesh, a hosted service and an emulator."""

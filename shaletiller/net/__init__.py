"""The wires: clients, nodes, discovery and peers."""

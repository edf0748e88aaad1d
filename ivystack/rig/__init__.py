"""The rig: several real processes of the program on loopback, and faults between them."""

"""The rig: a test tool that runs several real processes of the program on loopback, with faults."""

"""The fleet's configuration file and the services that it enables: mesh, consensus and duties."""

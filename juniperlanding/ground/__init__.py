"""The base of all packages: system interfaces for clock, network and disk, the operators' file, the log."""

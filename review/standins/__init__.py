"""Stand-ins for the users' platform that the scripts of the cases share."""

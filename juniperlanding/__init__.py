"""juniperlanding: a relay that hands notifications on to destinations that nobody here controls."""

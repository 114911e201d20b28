"""What dispatchers know of each other: `members` decides, `words` is what is said, `agent` carries it out."""

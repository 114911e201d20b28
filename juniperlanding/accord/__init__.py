"""One policy in force everywhere or nowhere: `accord` decides, `words` is what is said."""

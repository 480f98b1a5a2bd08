"""Records of the log and the state that is folded from them."""

"""Routes language-model traffic so that shared prompts are computed once."""

"""Which requests and parts of prompts crash engines, and what is refused."""

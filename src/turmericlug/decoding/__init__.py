"""Reading of values from outside: each field has a type and bounds."""

"""The operators' ordered rules: model, checks, matching, editing and distribution."""

"""Ordered rules set by operators: model, validation, matching, edits and distribution."""

"""Settings from an INI file, validated as a whole."""

"""Settings read from an INI file and checked as a whole."""

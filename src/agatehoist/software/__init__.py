"""Software versions of endpoints, to which the streams that they begin are bound."""

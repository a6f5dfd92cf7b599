"""Messages, HTTP problem details, the platform client and upstream interfaces."""

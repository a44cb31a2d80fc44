"""Network primitives: scheduler, streams, protocol codecs, limits and the log.

The package does not depend on admission, configuration or operation; all packages may import it.
"""

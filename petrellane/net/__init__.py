"""Primitives of the networked parts: scheduler, streams, protocol codecs, limits and the log.

The package knows nothing of admission, configuration or operation; everything above may import it.
"""

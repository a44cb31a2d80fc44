"""What any networked part stands on: scheduler, streams, limits, log and codecs. Nothing of ours lies below it."""

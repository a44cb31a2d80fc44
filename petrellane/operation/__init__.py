"""Operation of a gateway process: lifecycle, management API, hot restart, discovery backoff.

`lifecycle`, `management_requests`, `hot_restart`, `hot_restart_messages` and `backoff` contain no
I/O; `management_api`, `hot_restart_link` and `hot_restart_transport` own the sockets.
"""

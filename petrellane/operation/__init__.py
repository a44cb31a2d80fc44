"""How a gateway is operated: lifecycle, management API, hot restart, discovery backoff.

`lifecycle`, `management_requests`, `hot_restart`, `hot_restart_messages` and `backoff` are rules
free of I/O; `management_api`, `hot_restart_link` and `hot_restart_transport` own the sockets.
"""

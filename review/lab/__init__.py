"""Small stand-ins for the scripts of the review: store, endpoints, requesters, routers, machines.

They follow the users' pages PROTOCOL.md and DEPLOY.md, use only the standard library and run inside
the process of a script. The program under review runs as separate processes.
"""

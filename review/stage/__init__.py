"""Stand-ins and checks that the scripts of the review share.

They use the standard library only, so that the scripts run after the build of
the deploy file. All addresses are loopback addresses.
"""

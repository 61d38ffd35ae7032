"""Versions of the formats in which routers write to each other.

Explanation
===========
A format grows by fields that are appended with defaults, and readers skip what
they don't know, so that a version changes nothing by itself. It names what a
sender knows of. A new value in a field that exists, or a new meaning, needs a
new version and a sender that keeps to the old one while old builds run.
"""

# Version of the notices that this build sends. 0 is the format of 08c7865,
# which names no version.
NOTICE_FORMAT = 1
# Notices of older versions are not read.
OLDEST_NOTICE_FORMAT = 0

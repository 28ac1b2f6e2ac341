#!/bin/sh
# The stand-ins of the cases are plain scripts of Node.js without dependencies, so there is nothing to build.
exit 0

# A configuration of a whole fleet, as `cairnctl fleet config put deploy/fleet-config.hcl` takes it. docs/rollout.md is the operators' page.

needs = 2 # the least number of a build that understands it; older builds turn it down. 2 knows overload

# For commands that run under a lease (`cairnctl fleet run`), as CAIRNLANE_VALUE_NAME in their environment.
values = {
  EXPORT_DIR = "/srv/export"
  BATCH      = "200"
}

# Boxes that are below the lowest allowed number.
stragglers {
  grace         = "30s" # before they are shut out; twice the leases' term at the least
  floor         = 0.5   # the share of all known boxes, the dead included, that must be left
  leave_service = false # whether a box that is shut out takes itself out of service
}

# What the fleet sheds as one (docs/overload.md). Without this block each box sheds by itself alone.
overload {
  tries  = 0.1 # further tries over first ones that the fleet takes
  shares = {   # of the fleet's capacity, by tenant of the settings
    riverside-uni   = 0.41
    hills-college   = 0.27
    goldfields-tafe = 0.17
  }
}

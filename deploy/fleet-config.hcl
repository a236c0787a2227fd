# Configuration of a whole fleet, stored with `cairnctl fleet config put deploy/fleet-config.hcl`. See docs/rollout.md.

needs = 2 # lowest build number that supports this configuration; older builds reject it. The overload block needs 2

# Passed to commands that run under a lease (`cairnctl fleet run`) as environment variables CAIRNLANE_VALUE_NAME.
values = {
  EXPORT_DIR = "/srv/export"
  BATCH      = "200"
}

# How boxes below the lowest allowed version are handled.
stragglers {
  grace         = "30s" # time until they are shut out; at least twice the lease term
  floor         = 0.5   # fraction of all known boxes, including dead ones, that must not be shut out
  leave_service = false # whether a box that is shut out drains itself
}

# Load shedding by the fleet as a whole (docs/overload.md). Without this block each box decides by itself.
overload {
  tries  = 0.1 # retry budget: admitted retries per first attempt
  shares = {   # shares of the fleet's capacity, by tenant of the settings
    riverside-uni   = 0.41
    hills-college   = 0.27
    goldfields-tafe = 0.17
  }
}

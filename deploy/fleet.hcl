# Configuration of one box of a fleet: the settings of deploy/appliance.hcl and a fleet block. See docs/leases.md.
# `cairnctl fleet init --voters box1,box2,box3`, run once on one box, initializes the fleet.

replica = "../examples/config.json" # its "name" is the box's name in the fleet and differs from box to box
state   = "../state"

fleet {
  listen            = "127.0.0.1:7600"
  key_file          = "fleet.key" # (umask 077; head -c 32 /dev/urandom | base64 > fleet.key), the same on all boxes
  maintenance_slots = 1           # maximum number of boxes in maintenance at the same time; the same on all boxes

  # All boxes may have the same list; each box ignores its own entry.
  peer "n0" { address = "127.0.0.1:7600" }
  peer "n1" { address = "127.0.0.1:7601" }
  peer "n2" { address = "127.0.0.1:7602" }
}

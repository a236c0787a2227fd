# A box of a fleet: what deploy/appliance.hcl has, and a fleet block. docs/leases.md is the operators' page.
# `cairnctl fleet init --voters box1,box2,box3` on one box begins the fleet.

replica = "../examples/config.json" # its "name" is the box's in the fleet; each box has another one
state   = "../state"

fleet {
  listen            = "127.0.0.1:7600"
  key_file          = "fleet.key" # (umask 077; head -c 32 /dev/urandom | base64 > fleet.key), the same on all boxes
  maintenance_slots = 1           # boxes out of service at a time; the same on all boxes

  # All boxes may have the same list; a box's own entry is left out by it.
  peer "n0" { address = "127.0.0.1:7600" }
  peer "n1" { address = "127.0.0.1:7601" }
  peer "n2" { address = "127.0.0.1:7602" }
}

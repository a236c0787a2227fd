# One box of a small site. `cairnlane check FILE` tells what is wrong in it; `cairnlane serve --config FILE` runs it.
# Paths are relative to this file.

replica = "../examples/config.json" # the site's classes and figures, with this box's name and addresses
state   = "../state"                # keys, certificates and orders; mode 0700

log {
  level = "info" # debug, info, warn, error
}

tls {
  listen      = "127.0.0.1:7443"
  challenge   = "tls-alpn-01" # or "http-01" with http_listen = ":80"
  self_signed = true          # until the first certificate has come
  contact     = ["ops@site.example"]

  authority "main" {
    directory = "https://ca.example/directory"
  }
  authority "second" {
    directory = "https://other-ca.example/directory"
  }

  certificate "site" {
    hosts = ["box1.site.example"]
  }
}

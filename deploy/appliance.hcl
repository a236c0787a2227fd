# Configuration of one box of a small site. `cairnlane check FILE` lists the errors in it; `cairnlane serve --config FILE` runs the box.
# Paths are relative to this file.

replica = "../examples/config.json" # settings of the replica: the site's classes and limits, and this box's name and addresses
state   = "../state"                # keys, certificates and orders; mode 0700

log {
  level = "info" # debug, info, warn, error
}

tls {
  listen      = "127.0.0.1:7443"
  challenge   = "tls-alpn-01" # or "http-01" with http_listen = ":80"
  self_signed = true          # serve a self-signed placeholder certificate until the first one is issued
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

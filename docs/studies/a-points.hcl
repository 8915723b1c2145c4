# Study (a): points of a box on the ring, and the hash that places them.
experiment {
  title    = "Points and hash"
  scenario = "places.hcl"
  seeds    = 24

  vary {
    "routers.points" = [64, 4, 16, 256]
    "routers.hash"   = ["splitmix", "murmur3", "xxh3", "komi", "crc32"]
  }

  plot "Service by points" {
    y     = "service"
    x     = "routers.points"
    by    = "routers.hash"
    log_x = true
  }
}

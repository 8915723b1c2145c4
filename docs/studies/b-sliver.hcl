# Study (b): many routers that each see a sliver of the traffic. How the bound is rounded, and what it counts.
experiment {
  title    = "Slivers"
  scenario = "places.hcl"
  seeds    = 12

  set {
    "routers.policy"   = "bounded"
    "boxes.count"      = 40
    "list.calls_per_s" = 100
  }

  vary {
    "routers.rounding" = ["ceil", "chance", "floor"]
    "routers.measure"  = ["requests", "tokens"]
    "routers.count"    = [2, 8, 20, 40]
  }

  plot "Service by routers" {
    y     = "service"
    x     = "routers.count"
    by    = "routers.rounding"
    log_x = true
  }

  plot "Prompt tokens found kept, by routers" {
    y     = "hits"
    x     = "routers.count"
    by    = "routers.rounding"
    log_x = true
  }

  plot "Service by what the bound counts" {
    y     = "service"
    x     = "routers.count"
    by    = "routers.measure"
    log_x = true
  }
}

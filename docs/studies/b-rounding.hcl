# Study (b): the module with its bound rounded up, and by each request's own draw.
experiment {
  title    = "Rounding in the module"
  scenario = "places.hcl"
  seeds    = 24

  set {
    "list.calls_per_s" = 100
  }

  vary {
    "routers.rounding" = ["ceil", "chance"]
    "boxes.count"      = [10, 40]
    "routers.count"    = [2, 8, 40]
  }

  plot "Service of the module by rounding" {
    y     = "service"
    x     = "routers.count"
    by    = "routers.rounding"
    log_x = true
  }
}

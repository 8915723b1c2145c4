# Study (a): what the factor, the points and the hash of the module decide, by the size of the fleet.
experiment {
  title    = "Factor by fleet size"
  scenario = "places.hcl"
  seeds    = 12

  vary {
    "routers.factor" = [125, 105, 110, 150, 200, 400]
    "boxes.count"    = [10, 30, 100]
  }

  plot "Service by factor" {
    y     = "service"
    x     = "routers.factor"
    by    = "boxes.count"
    log_x = true
  }

  plot "Prompt tokens found kept, by factor" {
    y     = "hits"
    x     = "routers.factor"
    by    = "boxes.count"
    log_x = true
  }

  plot "Fullest box over the mean, by factor" {
    y     = "spread"
    x     = "routers.factor"
    by    = "boxes.count"
    log_x = true
  }
}

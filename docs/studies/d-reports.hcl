# Study (d): how old load reports may be before using them hurts.
experiment {
  title    = "Age of load reports"
  scenario = "places.hcl"
  seeds    = 24

  vary {
    "routers.policy"   = ["least-open", "reported", "two-choices"]
    "reports.every_ms" = [20, 100, 500, 1500]
    "reports.late_ms"  = [5, 100, 500, 2000]
  }

  plot "Service by how late reports come" {
    y     = "service"
    x     = "reports.late_ms"
    by    = "routers.policy"
    log_x = true
  }

  plot "Service by how often reports are made" {
    y     = "service"
    x     = "reports.every_ms"
    by    = "routers.policy"
    log_x = true
  }
}

# The policies beside each other, on the same days.
experiment {
  title    = "Policies"
  scenario = "places.hcl"
  seeds    = 24

  vary {
    "routers.policy" = ["module", "random", "round-robin", "least-open", "two-choices", "hash", "bounded", "reported", "sees-all"]
  }

  plot "Service by policy" {
    y = "service"
    x = "routers.policy"
  }
}

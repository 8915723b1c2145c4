# Study (c): one class in which some requests cost 20 times as much, for a third of the day.
experiment {
  title    = "A costly class"
  scenario = "costly.hcl"
  seeds    = 12

  vary {
    "routers.policy" = ["module", "bounded", "least-open", "two-choices", "random"]
    "day.load"       = [0.5, 0.7, 0.9]
    "trouble.costly.part" = [0.03, 0.1, 0.3]
  }

  plot "Service by part that is costly" {
    y     = "service"
    x     = "trouble.costly.part"
    by    = "routers.policy"
    log_x = true
  }

  plot "Last third by part that is costly" {
    y     = "last_third"
    x     = "trouble.costly.part"
    by    = "routers.policy"
    log_x = true
  }
}

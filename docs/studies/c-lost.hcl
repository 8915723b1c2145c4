# Study (c): a site is lost on a busy day. Which rules of trying again keep service, and what is left behind.
experiment {
  title    = "A site lost"
  scenario = "lost.hcl"
  seeds    = 12

  vary {
    "routers.policy"  = ["module", "bounded", "least-open", "two-choices", "random"]
    "clients.retries" = [0, 2, 5]
    "day.load"        = [0.5, 0.7, 0.9]
  }

  plot "Service by tries of clients" {
    y  = "service"
    x  = "clients.retries"
    by = "routers.policy"
  }

  plot "Last third by load" {
    y  = "last_third"
    x  = "day.load"
    by = "routers.policy"
  }

  plot "Tries for each ask, by load" {
    y  = "tries_per_ask"
    x  = "day.load"
    by = "routers.policy"
  }
}

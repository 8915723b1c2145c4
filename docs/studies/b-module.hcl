# Study (b): the module and others, by the number of routers over the same 40 boxes.
experiment {
  title    = "Slivers, the module"
  scenario = "places.hcl"
  seeds    = 12

  set {
    "boxes.count"      = 40
    "list.calls_per_s" = 100
  }

  vary {
    "routers.policy" = ["module", "bounded", "hash", "least-open", "two-choices"]
    "routers.count"  = [1, 2, 8, 20, 40]
  }

  plot "Service of policies by routers" {
    y     = "service"
    x     = "routers.count"
    by    = "routers.policy"
    log_x = true
  }

  plot "Prompt tokens found kept, of policies" {
    y     = "hits"
    x     = "routers.count"
    by    = "routers.policy"
    log_x = true
  }
}

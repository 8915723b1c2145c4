# A fleet many times larger: 14 routers over 60 boxes of three kinds. On one day most routers are killed during a
# release, a site is lost for 5 s and returns cold, and six in ten boxes are replaced within 7 s; one of eight boxes is bad.

day {
  seconds = 70
  load    = [0.43, 0.56]
  swing   = [0.18, 0.4]
  burst   = [0, 1]
}

sites {
  names     = ["kathmandu", "pokhara"]
  across_ms = [10, 20]
  within_ms = [0.11, 0.26]
  client_ms = [0.21, 0.88]
  jitter    = [0.08, 0.33]
  skew      = [0.05, 0.3]
}

routers {
  count = 14
}

list {
  calls_per_s = 100
}

boxes {
  count = 60
}

kind "big-gpu" {
  share      = 0.34
  speed      = [1.7, 2.3]
  slots      = [10, 31]
  queue      = [4, 22]
  memory_k   = [88, 470]
  step_ms    = [9.2, 19]
  read_per_s = [11000, 25000]
  cold_from  = [0.39, 0.56]
  cold_s     = [3.1, 8.7]
}

kind "mid-gpu" {
  share      = 0.31
  speed      = [1, 1.4]
  slots      = [10, 30]
  queue      = [8, 19]
  memory_k   = [88, 250]
  step_ms    = [9.5, 17]
  read_per_s = [14000, 29000]
  cold_from  = [0.33, 0.59]
  cold_s     = [4.6, 8.2]
}

kind "small-gpu" {
  share      = 0.35
  speed      = [0.68, 0.92]
  slots      = [12, 31]
  queue      = [5, 23]
  memory_k   = [82, 590]
  step_ms    = [11, 18]
  read_per_s = [10000, 27000]
  cold_from  = [0.32, 0.55]
  cold_s     = [3.8, 8.1]
}

class "complete" {
  share         = [0.42, 0.64]
  aim_s         = 0.5
  aim_ms_per_k  = 60
  token_ms      = 100
  give_up_s     = 1.5
  worth         = 1
  new_tokens    = [350, 1500]
  out_tokens    = [13, 34]
  most_out      = 400
  turns         = [1, 1.3]
  think_s       = [1.4, 3.5]
  prefixes      = [3, 6]
  prefix_tokens = [210, 390]
  prefix_share  = [0.51, 0.93]
}

class "agent" {
  share         = [0.14, 0.22]
  aim_s         = 1.5
  aim_ms_per_k  = 30
  token_ms      = 100
  give_up_s     = 6
  worth         = 5
  new_tokens    = [290, 670]
  out_tokens    = [55, 140]
  most_out      = 800
  turns         = [3.1, 7.4]
  think_s       = [1.4, 4.3]
  prefixes      = [3, 12]
  prefix_tokens = [2400, 7300]
  prefix_share  = [0.56, 1]
}

class "chat" {
  share         = [0.12, 0.18]
  aim_s         = 1.2
  aim_ms_per_k  = 30
  token_ms      = 60
  give_up_s     = 4
  worth         = 5
  new_tokens    = [89, 430]
  out_tokens    = [130, 230]
  most_out      = 500
  turns         = [1.9, 3.4]
  think_s       = [3, 12]
  prefixes      = [3, 16]
  prefix_tokens = [490, 1900]
  prefix_share  = [0.51, 0.78]
}

class "bulk" {
  share         = [0.11, 0.17]
  aim_s         = 3
  aim_ms_per_k  = 60
  token_ms      = 80
  give_up_s     = 12
  worth         = 3
  new_tokens    = [610, 1900]
  out_tokens    = [47, 97]
  most_out      = 400
  turns         = [1, 1.3]
  think_s       = [2.1, 3.8]
  prefixes      = 3
  prefix_tokens = [210, 1100]
  prefix_share  = [0.51, 0.98]
}

municipality "kathmandu-metro" {
  share = 0.2
  usage = [0.7, 1.3]
}

municipality "lalitpur-metro" {
  share = 0.21
  usage = [0.51, 1.3]
}

municipality "pokhara-metro" {
  share = 0.18
  usage = [0.79, 1.3]
}

municipality "bharatpur-metro" {
  share = 0.16
  usage = [0.69, 1.3]
}

municipality "biratnagar-metro" {
  share = 0.07
  usage = [0.53, 1.3]
}

municipality "birgunj-metro" {
  share = 0.07
  usage = [0.56, 1.3]
}

municipality "butwal-sub" {
  share = 0.06
  usage = [0.54, 1.1]
}

municipality "dharan-sub" {
  share = 0.05
  usage = [0.52, 1.3]
}

trouble "release" {
  what    = "drain"
  at      = 0.08
  seconds = 6
  part    = 0.25
}

trouble "routers killed" {
  what    = "routers_killed"
  at      = 0.12
  seconds = 1
  part    = 0.7
}

trouble "quick errors" {
  what    = "errors"
  at      = 0.08
  seconds = 12
  part    = 0.12
  size    = 0.9
}

trouble "a site is lost" {
  what    = "site_lost"
  at      = 0.38
  seconds = 5
  size    = 0
  part    = [0, 1]
}

trouble "slow boxes" {
  what    = "slow"
  at      = 0.38
  seconds = 12
  part    = 0.12
  size    = [3.6, 9.2]
}

trouble "six in ten replaced" {
  what    = "drain"
  at      = 0.7
  seconds = 7
  part    = 0.6
}

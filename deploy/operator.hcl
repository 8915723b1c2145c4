# The operator's own settings, for `yewdock daemon`. Every key is here with its default; what is left out keeps
# it. The platform's `serve` reads none of this.

daemon {
  # The platform's configuration: addresses, limits, settings. Read by each generation at its start, and by the
  # one that serves at SIGHUP.
  config = "deploy/local.json"

  # The folder of the control socket, made with access for its owner only. Socket names hold at most 107 bytes.
  control = "run"

  # The class path of a generation; "" is the daemon's own. `upgrade --program FILE` changes it while it runs.
  program = ""

  # Flags of a generation's JVM.
  java = ["-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xmx80m"]
}

upgrade {
  # How long each stage may take, in seconds, 0.1 to 600; past it the new generation is given up. Requests
  # that come between share and go wait for the new one: these two bound how long.
  start_s  = 20
  check_s  = 10
  state_s  = 5
  ready_s  = 10
  take_s   = 5
  share_s  = 1
  go_s     = 1
  let_go_s = 2

  # How long an old generation may finish the streams it has, in seconds, 1 to 86400. What is still open then
  # is ended.
  finish_s = 600

  # So many old generations may be finishing at once, 1 to 64; each is a process with its memory.
  most_finishing = 4
}

log {
  # "text" or "json": one line, or one object, for each event.
  form = "text"
}

store {
  # The folder of the store, made for its owner only if it isn't there. "": nothing is kept, and a router that
  # was killed begins anew. One daemon for a folder.
  folder = ""

  # So long are changes gathered before they are written together, in seconds, 0.001 to 0.08.
  gather_s = 0.02

  # After so long a store that failed (no room, read-only) is tried again, in seconds, 0.1 to 600.
  retry_s = 5

  # A drain that the list told longer ago than this, and never since, is doubted at a start: the box counts as
  # ready until the list says more. Seconds, 10 to 2592000. An operator's mark is never doubted.
  doubt_s = 3600

  # So many records are kept, own and copied, 100 to 1000000.
  most_records = 100000
}

copies {
  # Instances of one installation; only those with the same name here talk to each other.
  cluster = "yewdock"

  # This instance's own name, and where it listens for the others. The connections are not encrypted: they
  # belong on a network of the operators' own.
  instance = ""
  listen   = ""

  # The others, each as "name=host:port". An instance that is not named here is refused.
  peers = []

  # So much of what one peer sends is read in a second, in megabytes, 0.1 to 1000. A peer that sends small
  # records without end costs about a fifth of a core for each megabyte, in the daemon's small parent.
  read_mb_s = 1

  # So many removals are remembered even when all peers are known to have them, 0 to 1000000.
  most_removals = 10000
}

agreement {
  # The instances that vote on rules, three or five of this one and copies.peers, the same in every instance's file.
  # Every other instance follows. []: nothing is agreed, and marks are copied as they are told. Needs store.folder:
  # an instance that votes keeps the council's log in the folder "council" in it, and may not lose it lightly.
  members = []

  # So long after a change was prepared no router acts by what held before, whatever fails, in seconds, 1 to 600.
  # The lease is 0.8 of it: a router that hears of no majority for that long is in doubt.
  agreed_within_s = 3

  # No monotonic clock gains or loses more than this part of the time that passes, 0 to 0.01.
  drift = 0.001

  # What a router in doubt does: "refuse" all new work, with a time to come back, or "serve" on by what it held last.
  # With "serve" the stated time is not kept by a router that is cut off.
  in_doubt = "refuse"
}

package yewdock.baseline;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import umberspread.Routing;
import umberspread.Routing.Lifecycle;
import umberspread.Routing.ListKind;
import umberspread.Routing.LoadReport;
import umberspread.Routing.Outcome;
import umberspread.Routing.Request;
import umberspread.Routing.ServerState;

/**
 * What every textbook policy does alike, as common balancers do it: it follows the list, leaves out what
 * drains,
 * sends little to a box that has just started, tries another box a few times, and then refuses or fails.
 */
abstract class Textbook implements Routing.Events {
    private static final int LIST_TOKEN = 0;
    private static final int MOST_RETRIES = 2;
    private static final double COLD_PART = 0.5;

    final Routing.Settings settings;
    final Routing.Actions actions;
    final SplittableRandom random;
    final Map<Long, Box> boxes = new TreeMap<>();
    final List<Box> ready = new ArrayList<>();
    private final Map<Long, Open> open = new HashMap<>();
    private boolean following;
    int openInAll;
    double tokensInAll;

    /** A box as the policy knows it. */
    static final class Box {
        ServerState replica;
        int open;
        double tokens;
        LoadReport report;
        int sinceReport;

        Box(ServerState replica) {
            this.replica = replica;
        }
    }

    private static final class Open {
        private final Request request;
        private final long deadline;
        private final List<Box> tried = new ArrayList<>(1);
        private boolean out;
        private boolean mayHaveRun;

        Open(Request request, long deadline) {
            this.request = request;
            this.deadline = deadline;
        }
    }

    Textbook(Routing.Settings settings, long seed, Routing.Actions actions) {
        this.settings = settings;
        this.actions = actions;
        this.random = new SplittableRandom(seed);
    }

    /** A box that is not among those tried; null where there is none. */
    abstract Box choose(Request request, Set<Box> tried, long now);

    /** The boxes that take requests have changed. */
    void changed() {
        // a policy with a ring builds it here
    }

    @Override
    public void started(long now) {
        actions.watchEndpointList();
        actions.wakeAt(now + settings.contract().maxDiscoveryInterval(), LIST_TOKEN);
    }

    @Override
    public void listReceived(long now, ListKind kind, List<ServerState> entries) {
        if (kind == ListKind.FAILED) {
            following = false;
            actions.wakeAt(now + settings.contract().maxDiscoveryInterval() / 10, LIST_TOKEN);
            return;
        }
        following |= kind != ListKind.CACHED;
        if (kind != ListKind.DELTA) {
            Set<Long> listed = new HashSet<>();
            entries.forEach(r -> listed.add(r.id()));
            boxes.keySet().retainAll(listed);
        }
        for (ServerState r : entries) {
            if (r.lifecycle() == Lifecycle.GONE) {
                boxes.remove(r.id());
            } else {
                boxes.computeIfAbsent(r.id(), id -> new Box(r)).replica = r;
            }
        }
        ready.clear();
        boxes.values().stream().filter(b -> b.replica.lifecycle() == Lifecycle.READY).forEach(ready::add);
        changed();
    }

    @Override
    public void requestArrived(long now, Request request) {
        Open o = new Open(request, now + request.clientTimeout());
        open.put(request.id(), o);
        send(o, now);
    }

    private void send(Open o, long now) {
        Box box = o.tried.size() > MOST_RETRIES || o.tried.size() >= settings.limits().maxAttempts()
                || now >= o.deadline ? null : choose(o.request, new HashSet<>(o.tried), now);
        if (box == null) {
            open.remove(o.request.id());
            boolean mayRefuse = !o.mayHaveRun
                    || settings.classes().get(o.request.requestClass()).retrySafety()
                            == Routing.RetrySafety.RETRYABLE;
            if (mayRefuse) {
                actions.refuse(o.request.id(), 0);
            } else {
                actions.fail(o.request.id());
            }
            return;
        }
        o.tried.add(box);
        o.out = true;
        box.open++;
        box.sinceReport++;
        openInAll++;
        box.tokens += tokens(o.request);
        tokensInAll += tokens(o.request);
        actions.send(o.request.id(), box.replica.id(), o.deadline - now);
    }

    static double tokens(Request request) {
        // a token made costs several that are read, and an answer seldom is as long as it may be
        return request.promptTokens() + request.maxTokens();
    }

    /** Slow start, by chance: a cold box takes its share of capacity and less. */
    boolean warmEnough(Box box, long now) {
        long started = box.replica.startedAt();
        long age = now - started;
        long coldFor = settings.contract().warmUpTime();
        if (started == 0 || age >= coldFor) {
            return true;
        }
        double from = settings.contract().coldCapacityShare();
        return random.nextDouble() < COLD_PART * (from + (1 - from) * Math.max(0, age) / coldFor);
    }

    @Override
    public void firstToken(long now, long requestId, int attempt) {
        // nothing to learn from it
    }

    @Override
    public void attemptEnded(long now, long requestId, int attempt, Outcome outcome, long took,
            boolean requestOver, long keptTokens, LoadReport report) {
        Open o = open.get(requestId);
        if (o == null || attempt != o.tried.size() - 1 || !o.out) {
            return;
        }
        o.out = false;
        o.mayHaveRun |= !outcome.neverRan();
        Box box = o.tried.get(attempt);
        box.open--;
        openInAll--;
        box.tokens -= tokens(o.request);
        tokensInAll -= tokens(o.request);
        if (report != null) {
            if (!report.equals(box.report)) {
                box.sinceReport = 0;
            }
            box.report = report;
        }
        if (requestOver || outcome == Outcome.OK) {
            open.remove(requestId);
        } else {
            send(o, now);
        }
    }

    @Override
    public void requestAbandoned(long now, long requestId) {
        Open o = open.remove(requestId);
        if (o != null && o.out) {
            Box box = o.tried.get(o.tried.size() - 1);
            box.open--;
            openInAll--;
            box.tokens -= tokens(o.request);
            tokensInAll -= tokens(o.request);
        }
    }

    @Override
    public void woken(long now, int token) {
        if (!following) {
            actions.watchEndpointList();
            actions.wakeAt(now + settings.contract().maxDiscoveryInterval(), LIST_TOKEN);
        }
    }
}

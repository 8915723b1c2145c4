package yewdock.model;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;
import umberspread.Routing;
import umberspread.Routing.Lifecycle;
import yewdock.baseline.Options;
import yewdock.baseline.Policies;

/** A day of a whole installation in virtual time: clients, routers, boxes, list, and what goes wrong. */
public final class World {
    private static final double SECOND = 1e6;
    private static final double SPREAD_EVERY = 0.5 * SECOND;
    /** After the last arrival, so long at most until all is answered. */
    private static final long TAIL = 120_000_000;

    final Day day;
    final Calendar calendar = new Calendar();
    final List<Box> boxes = new ArrayList<>();
    final List<Host> hosts = new ArrayList<>();
    final Judge judge;
    final Score score;
    final Clients clients;
    final Register register;
    final Reports reports;
    private final Map<Long, Box> byId = new HashMap<>();
    private final List<Host> known = new ArrayList<>();
    private final Consumer<String> log;
    final boolean timed;
    double moduleNanos;
    long moduleEvents;
    double listNanos;
    long listEvents;

    /**
     * A world before its first moment; log gets the lines that routers write; timed: the module's cost is
     * taken.
     */
    public World(Day day, Consumer<String> log, boolean timed) {
        this.day = day;
        this.log = log;
        this.timed = timed;
        boxes.addAll(day.newBoxes(calendar));
        boxes.forEach(box -> byId.put(box.id, box));
        this.judge = new Judge(this);
        this.score = new Score(day);
        this.clients = new Clients(this, day.draws.stream("clients"));
        this.register = new Register(this, day.draws.stream("list"));
        this.reports = new Reports(this, day.draws.stream("reports"));
        for (int i = 0; i < day.routers; i++) {
            hosts.add(new Host(this, i, day.routerSites.get(i), day.draws.stream("router", i)));
        }
        known.addAll(hosts);
    }

    /** Plays the day of a scenario that a seed gives. */
    public static Score.Result run(Scenario scenario, long seed) {
        return new World(new Day(scenario, seed), line -> {
            // nobody reads them
        }, false).run();
    }

    /** Plays the day to its end. */
    public Score.Result run() {
        start();
        while (calendar.now() < day.length + TAIL && (calendar.now() < day.length || clients.open() > 0)
                && calendar.next()) {
            // one thing after the other
        }
        return score.result(this);
    }

    /** All that stands at the first moment. */
    void start() {
        hosts.forEach(Host::start);
        new Arrivals(day, calendar, this::ask).start();
        day.troubles.forEach(this::plan);
        calendar.after(SPREAD_EVERY, this::spread);
    }

    private void ask(Ask ask) {
        score.offeredCost += day.makes.get(0).cost(ask.freshTokens, ask.outTokens, ask.promptTokens);
        clients.ask(ask);
    }

    /** Whether nothing new comes any more. */
    boolean ending() {
        return calendar.now() > day.length + TAIL / 4;
    }

    private void spread() {
        if (calendar.now() >= day.length) {
            return;
        }
        double most = 0;
        double sum = 0;
        int alive = 0;
        for (Box b : boxes) {
            if (b.alive && b.takes) {
                most = Math.max(most, b.held());
                sum += b.held();
                alive++;
            }
        }
        if (sum >= alive && alive > 0) {
            score.spread(most * alive / sum);
        }
        calendar.after(SPREAD_EVERY, this::spread);
    }

    /** The rules that the days broke, each with its time; a thousand at most. */
    public List<String> broken() {
        return judge.all();
    }

    /** Worth asked for and answered in time, by the second of the ask. */
    public List<double[]> bySecond() {
        return List.of(score.askedBySecond(), score.servedBySecond());
    }

    /** What a list told to a policy costs, in nanoseconds, where that is taken. */
    public double nanosOfList() {
        return listEvents == 0 ? 0 : listNanos / listEvents;
    }

    /** Asks that came, asks that ended, and those still open. */
    public long[] balance() {
        return new long[] {score.asks(), score.ended(), clients.open()};
    }

    Box box(long id) {
        return byId.get(id);
    }

    void log(Host host, String line) {
        log.accept(String.format(java.util.Locale.ROOT, "%.3f router %d: %s", calendar.now() / SECOND,
                host.number,
                line));
    }

    double clientDelay(UniformRandomProvider random) {
        return day.clientMicros * (1 + day.jitter * random.nextDouble());
    }

    /** A router of the client's site that the front layer holds for alive; any other where there is none. */
    Host hostFor(int site, UniformRandomProvider random) {
        int here = 0;
        for (Host h : known) {
            here += h.site == site ? 1 : 0;
        }
        int at = known.isEmpty() ? 0 : random.nextInt(here > 0 ? here : known.size());
        for (Host h : known) {
            if ((here == 0 || h.site == site) && at-- == 0) {
                return h;
            }
        }
        return null;
    }

    Routing.Events policy(Host host, long seed) {
        Scenario.Routers r = day.scenario.routers();
        Options options = new Options(r.factor(), r.points(), r.hash(), r.rounding(), r.measure());
        return Policies.make(r.policy(), options, settings(host.site, host.number), seed, host, host.sight());
    }

    private Routing.Settings settings(int site, int ordinal) {
        Scenario s = day.scenario;
        List<Routing.RequestClass> classes = new ArrayList<>();
        for (Scenario.AskClass c : s.classes()) {
            classes.add(new Routing.RequestClass(c.name(), Routing.RetrySafety.RETRYABLE,
                    Routing.DedupGroup.ALL,
                    0,
                    micros(c.aimSeconds()), micros(c.aimMillisPerThousand() / 1000),
                    micros(c.tokenMillis() / 1000), micros(c.giveUpSeconds()), c.worth(), c.lateWorth(), true,
                    Routing.Placement.ANYWHERE));
        }
        List<Routing.Tenant> towns = new ArrayList<>();
        for (int m = 0; m < day.quota.length; m++) {
            towns.add(new Routing.Tenant(s.municipalities().get(m).name(), day.quota[m]));
        }
        Scenario.Contract c = s.contract();
        return new Routing.Settings(day.routers, ordinal, site, classes, towns,
                s.clients().overShareWorth(), true,
                new Routing.Limits(s.routers().attempts(), false, true, false,
                        micros(s.routers().connectSeconds()), micros(s.routers().retryAfterSeconds())),
                new Routing.Contract(micros(c.drainSeconds()), micros(c.coldSeconds()), c.coldFrom(),
                        c.fallMultiple(), micros(c.fallSeconds()), micros(c.askWithinSeconds()),
                        Routing.AttemptBudget.NONE),
                new Routing.Prices(0.03, 0, 0.0021, 0.02, 0.11));
    }

    private static long micros(double seconds) {
        return Math.round(seconds * SECOND);
    }

    // ---- what goes wrong

    private void plan(Day.Struck s) {
        calendar.at(s.from(), () -> strike(s));
        calendar.at(s.to(), () -> relieve(s));
    }

    private void strike(Day.Struck s) {
        switch (s.trouble().what()) {
            case SLOW -> s.boxes().forEach(b -> boxes.get(b).slow *= Math.max(1, s.size()));
            case ERRORS -> s.boxes().forEach(b -> boxes.get(b).errorShare = Math.min(1, s.size()));
            case HANG -> s.boxes().forEach(b -> hang(boxes.get(b)));
            case REPORTS_LATE -> reports.late(s.size() * SECOND);
            case LIST_LATE -> register.lateMicros += s.size() * SECOND;
            case SITE_LOST -> lose(s);
            case ROUTERS_KILLED -> hosts.stream().limit(Math.round(s.part() * hosts.size()))
                    .forEach(this::kill);
            case RESTART -> s.boxes().forEach(b -> {
                die(boxes.get(b), false);
                start(boxes.get(b));
            });
            case DRAIN -> drain(s);
            default -> {
                // costly requests and bursts are drawn with the arrivals
            }
        }
    }

    private void relieve(Day.Struck s) {
        switch (s.trouble().what()) {
            case SLOW -> s.boxes().forEach(b -> boxes.get(b).slow /= Math.max(1, s.size()));
            case ERRORS -> s.boxes().forEach(b -> boxes.get(b).errorShare = 0);
            case HANG -> s.boxes().forEach(b -> boxes.get(b).hang(false));
            case REPORTS_LATE -> reports.late(0);
            case LIST_LATE -> register.lateMicros -= s.size() * SECOND;
            case SITE_LOST -> {
                s.boxes().forEach(b -> start(boxes.get(b)));
                startRouters();
            }
            case ROUTERS_KILLED -> startRouters();
            default -> {
                // over by itself
            }
        }
    }

    private void hang(Box box) {
        box.hang(true);
        calendar.after(4.5 * SECOND, () -> {
            if (box.hung) {
                box.breakStreams();
            }
        });
    }

    private void lose(Day.Struck s) {
        boolean silently = s.part() > 0.5;
        s.boxes().forEach(b -> die(boxes.get(b), silently));
        if (s.size() > 0.5) {
            for (Host h : hosts) {
                if (h.site == s.site()) {
                    kill(h);
                }
            }
        }
    }

    private void kill(Host h) {
        if (h.alive()) {
            h.die();
            calendar.after(day.routerNotice, () -> {
                if (!h.alive()) {
                    known.remove(h);
                }
            });
        }
    }

    private void startRouters() {
        for (Host h : hosts) {
            if (!h.alive()) {
                h.start();
                if (!known.contains(h)) {
                    known.add(h);
                }
            }
        }
    }

    private void die(Box box, boolean silently) {
        if (box.alive) {
            box.die(silently);
            register.happened(box, Lifecycle.GONE, silently);
        }
    }

    private void start(Box box) {
        if (!box.alive && !box.felled) {
            box.start();
            register.happened(box, Lifecycle.READY, false);
        }
    }

    /** A cold box that was sent too much falls over and stays down. */
    void fell(Box box) {
        box.felled = true;
        die(box, false);
    }

    /** One box after the other says that it drains, finishes what it has, and starts anew. */
    private void drain(Day.Struck s) {
        long each = Math.max(1, (s.to() - s.from()) / Math.max(1, s.boxes().size()));
        for (int i = 0; i < s.boxes().size(); i++) {
            Box box = boxes.get(s.boxes().get(i));
            calendar.at(s.from() + i * each, () -> {
                if (box.alive) {
                    register.happened(box, Lifecycle.DRAINING, false);
                }
            });
            calendar.at(s.from() + i * each + 2 * each / 3, () -> {
                if (box.alive) {
                    box.takes = false;
                }
            });
            calendar.at(s.from() + (i + 1) * each, () -> {
                die(box, false);
                start(box);
            });
        }
    }

    /** One line for each box: number, kind, site, state, running, waiting, unread tokens. */
    List<String> state() {
        List<String> lines = new ArrayList<>();
        for (Box b : boxes) {
            lines.add(String.join(",", Integer.toString(b.number),
                    day.scenario.kinds().get(b.make.kind()).name(), day.scenario.sites().names().get(b.site),
                    b.alive ? b.hung ? "hung" : b.takes ? b.warmth() < 1 ? "cold" : "up" : "draining"
                            : "down",
                    Integer.toString(b.running()), Integer.toString(b.queued()),
                    Long.toString(Math.round(b.unreadTokens())),
                    String.format(java.util.Locale.ROOT, "%.3f", b.memoryShare())));
        }
        return lines;
    }

    /** Calls with the second and the state lines, once a second of the day. */
    public void watch(java.util.function.BiConsumer<Integer, List<String>> each) {
        for (int second = 0; second < day.length / SECOND; second++) {
            int at = second;
            calendar.at(Math.round(second * SECOND), () -> each.accept(at, state()));
        }
    }
}

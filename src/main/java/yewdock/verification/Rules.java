package yewdock.verification;

import java.time.LocalTime;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import yewdock.testbed.Ledger;
import yewdock.testbed.Ledger.AtBox;
import yewdock.testbed.Ledger.AtClient;
import yewdock.testbed.Ledger.End;
import yewdock.testbed.Ledger.Told;

/** Judges a run by the stand-ins' own records: each broken rule is one line. */
public final class Rules {
    /**
     * Nothing new to a box later than this after the router was told that it drains; 50 ms as on the bench.
     */
    static final long DRAIN_GRACE = 1_050_000_000L;

    private static final long SHOWN = 6_000_000_000L;

    private Rules() {
    }

    /** All that a run broke. */
    public static List<String> broken(Ledger ledger) {
        List<String> broken = new ArrayList<>();
        answers(ledger.atClients(), broken);
        twice(ledger.atBoxes(), broken);
        drains(ledger.atBoxes(), ledger.told(), broken);
        return broken;
    }

    /** What a run broke in which routers are killed, so that requests are lost with them. */
    public static List<String> brokenOverKills(Ledger ledger, List<Marked> marks) {
        List<String> broken = new ArrayList<>();
        ledger.atClients().stream().filter(a -> a.end() == End.SERVED && !a.exact()).forEach(a ->
                broken.add("request " + a.id() + ": its stream is not the reference"));
        drains(ledger.atBoxes(), ledger.told(), broken);
        marks(ledger.atBoxes(), marks, broken);
        return broken;
    }

    /** All that a run broke in which operators took boxes out of use. */
    public static List<String> broken(Ledger ledger, List<Marked> marks) {
        List<String> broken = broken(ledger);
        marks(ledger.atBoxes(), marks, broken);
        return broken;
    }

    private static void marks(List<AtBox> all, List<Marked> marks, List<String> broken) {
        for (AtBox a : all) {
            for (Marked m : marks) {
                if (m.box().equals(a.box()) && a.began() > m.acknowledged() + DRAIN_GRACE
                        && a.began() < m.takenBack()) {
                    broken.add("at " + clock(a.began()) + " request " + a.id() + " came to " + a.box() + " "
                            + (a.began() - m.acknowledged()) / 1_000_000
                            + " ms after an operator's drain of it was acknowledged");
                }
            }
        }
    }

    /** An operator's drain: when it was acknowledged, and when it was asked to be taken back, nanoseconds. */
    public record Marked(String box, long acknowledged, long takenBack) {
    }

    /** One final answer each, streams as they should be, no connection refused or reset. */
    private static void answers(List<AtClient> all, List<String> broken) {
        Map<String, Integer> count = new HashMap<>();
        for (AtClient a : all) {
            if (count.merge(a.id(), 1, Integer::sum) > 1) {
                broken.add("request " + a.id() + " has more than one final answer");
            }
            switch (a.end()) {
                case SERVED -> {
                    if (!a.exact()) {
                        broken.add("request " + a.id() + ": its stream is not the reference");
                    }
                }
                case REFUSED, FAILED -> {
                    if (a.status() == 0) {
                        broken.add("request " + a.id() + ": an answer that can't be read");
                    }
                }
                default -> broken.add("request " + a.id() + ": " + a.end());
            }
        }
    }

    /** No id at two places at once. */
    private static void twice(List<AtBox> all, List<String> broken) {
        Map<String, List<AtBox>> byId = new HashMap<>();
        all.forEach(a -> byId.computeIfAbsent(a.id(), id -> new ArrayList<>()).add(a));
        byId.forEach((id, tries) -> {
            tries.sort(Comparator.comparingLong(AtBox::began));
            for (int i = 1; i < tries.size(); i++) {
                if (tries.get(i).began() < tries.get(i - 1).ended()) {
                    broken.add("request " + id + " is out twice at once, at " + tries.get(i - 1).box()
                            + " and "
                            + tries.get(i).box());
                }
            }
        });
    }

    /** A box that drains, as any router process was told, gets nothing new after the grace. */
    private static void drains(List<AtBox> all, List<Told> told, List<String> broken) {
        Map<String, TreeMap<Long, Boolean>> states = new HashMap<>();
        List<Told> inOrder = new ArrayList<>(told);
        inOrder.sort(Comparator.comparingLong(Told::at));
        for (Told t : inOrder) {
            TreeMap<Long, Boolean> of = states.computeIfAbsent(t.box(), b -> new TreeMap<>());
            boolean takes = t.state().equals("up");
            // told again to another process, it still counts from the first telling
            if (of.isEmpty() || of.lastEntry().getValue() != takes) {
                of.put(t.at(), takes);
            }
        }
        for (AtBox a : all) {
            Map.Entry<Long, Boolean> state = states.getOrDefault(a.box(), new TreeMap<>())
                    .floorEntry(a.began());
            if (state != null && !state.getValue() && a.began() > state.getKey() + DRAIN_GRACE) {
                broken.add("at " + clock(a.began()) + " request " + a.id() + " came to " + a.box() + " "
                        + (a.began() - state.getKey()) / 1_000_000 + " ms after its drain was told; "
                        + around(a, inOrder));
            }
        }
    }

    private static LocalTime clock(long nanos) {
        return LocalTime.now().minusNanos(System.nanoTime() - nanos);
    }

    /** What was told of a request's box around the time at which it came, in milliseconds from then. */
    private static String around(AtBox a, List<Told> told) {
        StringBuilder all = new StringBuilder("told");
        for (Told t : told) {
            if (t.box().equals(a.box()) && Math.abs(t.at() - a.began()) < SHOWN) {
                all.append(' ').append((t.at() - a.began()) / 1_000_000).append(':').append(t.state())
                        .append("->").append(t.connection());
            }
        }
        return all.toString();
    }

    /** How many of the requests ended in this way. */
    public static long count(Ledger ledger, End end) {
        return ledger.atClients().stream().filter(a -> a.end() == end).count();
    }
}

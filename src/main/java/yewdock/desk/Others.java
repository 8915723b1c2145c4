package yewdock.desk;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * The router's other generations. One generation owns the request ids and accepts requests freely. The others
 * finish their requests and ask the owner before they accept another one, since a client may send it over a
 * connection that it has held for long. So no two generations ever have the same id open.
 */
final class Others {
    /**
     * Time in microseconds to wait for the answer to a claim. An owner that doesn't answer hangs or has
     * ended; the request has not run, and the client is told to retry. The wait is longer than a new
     * generation may take from the SHARE to the GO stage, so that one that fails there costs only a delay.
     */
    static final long CLAIM_PATIENCE = 2_500_000;

    /** Accepts or rejects requests whose claims have been decided. */
    interface Door {
        void admit(Event.Asked asked, long waited);

        void twin(Event.Asked asked);

        void turnAway(Event.Asked asked);
    }

    private record Claim(Event.Asked asked, long number, long at) {
    }

    private final LongSupplier now;
    private final Timers timers;
    private final Counters counters;
    private final Consumer<Effect> effects;
    private final Door door;
    /** Request ids that each other generation has open. */
    private final Map<Integer, Set<String>> ids = new HashMap<>();
    /** Attempts that each other generation has in flight. */
    private final Map<Integer, Set<Long>> outs = new HashMap<>();
    private final Map<String, Claim> claims = new HashMap<>();
    private boolean asking;
    private long lastClaim;

    Others(LongSupplier now, Timers timers, Counters counters, Consumer<Effect> effects, Door door) {
        this.now = now;
        this.timers = timers;
        this.counters = counters;
        this.effects = effects;
        this.door = door;
    }

    /** Whether another generation owns the request ids. */
    boolean asking() {
        return asking;
    }

    /** Whether there is another generation to send messages to. */
    boolean any() {
        return asking || !ids.isEmpty();
    }

    int kept() {
        return claims.size() + ids.values().stream().mapToInt(Set::size).sum();
    }

    int claims() {
        return claims.size();
    }

    /** Whether claims are waiting for their answer. */
    boolean claiming() {
        return !claims.isEmpty();
    }

    /** Returns the ids being claimed; the next owner must count them as this generation's. */
    Set<String> claimed() {
        return claims.keySet();
    }

    /**
     * From now on another generation owns the request ids. Claims that an earlier owner has not answered are
     * sent again.
     */
    void share() {
        asking = true;
        for (Claim c : List.copyOf(claims.values())) {
            claim(c.asked, c.at);
        }
    }

    /**
     * This generation owns the request ids again and accepts the claimed requests in their order of arrival.
     */
    void own() {
        asking = false;
        List<Claim> waiting = new ArrayList<>(claims.values());
        waiting.sort((a, b) -> Long.compare(a.number, b.number));
        claims.clear();
        for (Claim c : waiting) {
            door.admit(c.asked, now.getAsLong() - c.at);
        }
    }

    /** Replaces the known state of a generation. */
    void adopt(int who, Holdings held) {
        ids.put(who, new HashSet<>(held.ids()));
        Set<Long> tokens = outs.computeIfAbsent(who, w -> new HashSet<>());
        held.out().forEach(sent -> tokens.add(sent.token()));
    }

    /** Forgets a generation that has ended and returns its attempts in flight, which have ended with it. */
    Set<Long> gone(int who) {
        ids.remove(who);
        Set<Long> tokens = outs.remove(who);
        return tokens == null ? Set.of() : tokens;
    }

    void sent(int who, long token) {
        outs.computeIfAbsent(who, w -> new HashSet<>()).add(token);
    }

    void ended(int who, long token) {
        outs.getOrDefault(who, new HashSet<>()).remove(token);
    }

    /** Whether the id is being claimed here or open in another generation. */
    boolean holds(String id) {
        return claims.containsKey(id) || ids.values().stream().anyMatch(held -> held.contains(id));
    }

    void claim(Event.Asked asked) {
        counters.add("claims.made");
        claim(asked, now.getAsLong());
    }

    private void claim(Event.Asked asked, long at) {
        String id = asked.request().id();
        Claim mine = new Claim(asked, ++lastClaim, at);
        claims.put(id, mine);
        effects.accept(new Effect.TellOthers(new OtherNews.Claim(id, mine.number)));
        timers.at(now.getAsLong() + CLAIM_PATIENCE, () -> {
            if (claims.remove(id, mine)) {
                counters.add("claims.unanswered");
                effects.accept(new Effect.TellOthers(new OtherNews.Released(id)));
                door.turnAway(asked);
            }
        });
    }

    /** Gives up the client's requests that are being claimed and returns them. */
    List<Event.Asked> clientLeft(long client) {
        List<Event.Asked> left = new ArrayList<>();
        for (Claim c : List.copyOf(claims.values())) {
            if (c.asked.client() == client) {
                left.add(c.asked);
                claims.remove(c.asked.request().id());
                effects.accept(new Effect.TellOthers(new OtherNews.Released(c.asked.request().id())));
            }
        }
        return left;
    }

    /**
     * Answers another generation's claim, which is refused if this generation doesn't own the ids or the id
     * is open here or in a third one.
     */
    void claimedBy(int who, OtherNews.Claim claim, boolean openHere) {
        boolean elsewhere = ids.entrySet().stream()
                .anyMatch(e -> e.getKey() != who && e.getValue().contains(claim.id()));
        boolean granted = !asking && !openHere && !elsewhere;
        if (granted) {
            ids.computeIfAbsent(who, w -> new HashSet<>()).add(claim.id());
        }
        effects.accept(new Effect.TellOthers(
                new OtherNews.Claimed(who, claim.id(), claim.number(), granted)));
    }

    void answered(OtherNews.Claimed answer) {
        Claim c = claims.get(answer.id());
        if (c == null || c.number != answer.number()) {
            return;
        }
        claims.remove(answer.id());
        if (answer.granted()) {
            door.admit(c.asked, now.getAsLong() - c.at);
        } else {
            door.twin(c.asked);
        }
    }

    void released(int who, String id) {
        Set<String> held = ids.get(who);
        if (held != null) {
            held.remove(id);
        }
    }
}

package yewdock.core;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * The router's other generations, as a part of the reducer. One generation owns the ids: it takes requests
 * freely. The others finish, and ask the owner before they take another request, since a client may send the
 * next one over a connection that it has had for long. So no id is ever out from two of them.
 */
final class Others {
    /**
     * An owner that doesn't answer is hung or gone: the client is told to come again, nothing has run. Longer
     * than a new generation may take from SHARE to GO, so that one that fails there costs a wait and no more.
     */
    static final long CLAIM_PATIENCE = 2_500_000;

    /** Takes a request that may be taken now, or turns it down. */
    interface Door {
        void admit(Event.RequestReceived asked, long waited);

        void twin(Event.RequestReceived asked);

        void turnAway(Event.RequestReceived asked);
    }

    private record Claim(Event.RequestReceived asked, long number, long at) {
    }

    private final LongSupplier now;
    private final Timers timers;
    private final Counters counters;
    private final Consumer<Effect> effects;
    private final Door door;
    private final Map<Integer, Set<String>> ids = new HashMap<>();
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

    /** Whether another generation owns the ids. */
    boolean asking() {
        return asking;
    }

    /** Whether there is anyone to tell. */
    boolean any() {
        return asking || !ids.isEmpty();
    }

    int kept() {
        return claims.size() + ids.values().stream().mapToInt(Set::size).sum();
    }

    int claims() {
        return claims.size();
    }

    boolean claiming() {
        return !claims.isEmpty();
    }

    /** The ids that are being claimed: whoever owns them next must count them as this generation's. */
    Set<String> claimed() {
        return claims.keySet();
    }

    /** From now on another owns the ids. Claims that an owner before it has not answered are made anew. */
    void share() {
        asking = true;
        for (Claim c : List.copyOf(claims.values())) {
            claim(c.asked, c.at);
        }
    }

    /** This generation owns the ids again; what was claimed is taken, in the order in which it came. */
    void own() {
        asking = false;
        List<Claim> waiting = new ArrayList<>(claims.values());
        waiting.sort((a, b) -> Long.compare(a.number, b.number));
        claims.clear();
        for (Claim c : waiting) {
            door.admit(c.asked, now.getAsLong() - c.at);
        }
    }

    void adopt(int who, GenerationState held) {
        ids.put(who, new HashSet<>(held.requestIds()));
        Set<Long> tokens = outs.computeIfAbsent(who, w -> new HashSet<>());
        held.attemptsInFlight().forEach(sent -> tokens.add(sent.token()));
    }

    /** The tries that a generation had out, which are out no more now that it is gone. */
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

    boolean holds(String id) {
        return claims.containsKey(id) || ids.values().stream().anyMatch(held -> held.contains(id));
    }

    void claim(Event.RequestReceived asked) {
        counters.add("claims.made");
        claim(asked, now.getAsLong());
    }

    private void claim(Event.RequestReceived asked, long at) {
        String id = asked.request().id();
        Claim mine = new Claim(asked, ++lastClaim, at);
        claims.put(id, mine);
        effects.accept(new Effect.SendToGenerations(new GenerationMessage.Claim(id, mine.number)));
        timers.at(now.getAsLong() + CLAIM_PATIENCE, () -> {
            if (claims.remove(id, mine)) {
                counters.add("claims.unanswered");
                effects.accept(new Effect.SendToGenerations(new GenerationMessage.RequestReleased(id)));
                door.turnAway(asked);
            }
        });
    }

    /** Gives up what a client asked; returns the requests of it that were being claimed. */
    List<Event.RequestReceived> clientLeft(long client) {
        List<Event.RequestReceived> left = new ArrayList<>();
        for (Claim c : List.copyOf(claims.values())) {
            if (c.asked.client() == client) {
                left.add(c.asked);
                claims.remove(c.asked.request().id());
                effects.accept(new Effect.SendToGenerations(
                        new GenerationMessage.RequestReleased(c.asked.request().id())));
            }
        }
        return left;
    }

    /** Another generation's claim; openHere tells whether a request of the id is open in this one. */
    void claimedBy(int who, GenerationMessage.Claim claim, boolean openHere) {
        boolean elsewhere = ids.entrySet().stream()
                .anyMatch(e -> e.getKey() != who && e.getValue().contains(claim.id()));
        boolean granted = !asking && !openHere && !elsewhere;
        if (granted) {
            ids.computeIfAbsent(who, w -> new HashSet<>()).add(claim.id());
        }
        effects.accept(new Effect.SendToGenerations(
                new GenerationMessage.ClaimAnswer(who, claim.id(), claim.claimNumber(), granted)));
    }

    void answered(GenerationMessage.ClaimAnswer answer) {
        Claim c = claims.get(answer.id());
        if (c == null || c.number != answer.claimNumber()) {
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

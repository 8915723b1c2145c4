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
 * The router's other generations. One generation owns the request ids and accepts requests freely. The others
 * finish their requests and ask the owner before they accept another one, since a client may send it over a
 * connection that it has held for long. So no two generations ever have the same id open.
 */
final class OtherGenerations {
    /**
     * Time in microseconds to wait for the answer to a claim. An owner that doesn't answer hangs or has
     * ended; the request has not run, and the client is told to retry. The wait is longer than a new
     * generation may take from the SHARE to the GO stage, so that one that fails there costs only a delay.
     */
    static final long CLAIM_TIMEOUT_MICROS = 2_500_000;

    /** Accepts or rejects requests whose claims have been decided. */
    interface RequestAdmission {
        /** Accepts a request that has waited this many microseconds for the answer to its claim. */
        void admit(Event.RequestReceived event, long waitedMicros);

        /** Rejects a request whose id belongs to an open request. */
        void rejectDuplicate(Event.RequestReceived event);

        /** Refuses a request whose claim was not answered in time. */
        void refuse(Event.RequestReceived event);
    }

    private record Claim(Event.RequestReceived event, long number, long receivedAt) {
    }

    private final LongSupplier now;
    private final Timers timers;
    private final Counters counters;
    private final Consumer<Effect> effects;
    private final RequestAdmission admission;
    /** Request ids that each other generation has open. */
    private final Map<Integer, Set<String>> openIds = new HashMap<>();
    /** Attempts that each other generation has in flight. */
    private final Map<Integer, Set<Long>> attemptsInFlight = new HashMap<>();
    private final Map<String, Claim> pendingClaims = new HashMap<>();
    private boolean mustClaim;
    private long lastClaimNumber;

    OtherGenerations(LongSupplier now, Timers timers, Counters counters, Consumer<Effect> effects,
            RequestAdmission admission) {
        this.now = now;
        this.timers = timers;
        this.counters = counters;
        this.effects = effects;
        this.admission = admission;
    }

    /** Whether another generation owns the request ids. */
    boolean mustClaim() {
        return mustClaim;
    }

    /** Whether there is another generation to send messages to. */
    boolean hasOthers() {
        return mustClaim || !openIds.isEmpty();
    }

    int retainedEntries() {
        return pendingClaims.size() + openIds.values().stream().mapToInt(Set::size).sum();
    }

    int pendingClaims() {
        return pendingClaims.size();
    }

    /** Whether claims are waiting for their answer. */
    boolean hasClaims() {
        return !pendingClaims.isEmpty();
    }

    /** Returns the ids being claimed; the next owner must count them as this generation's. */
    Set<String> claimedIds() {
        return pendingClaims.keySet();
    }

    /**
     * From now on another generation owns the request ids. Claims that an earlier owner has not answered are
     * sent again.
     */
    void releaseOwnership() {
        mustClaim = true;
        for (Claim claim : List.copyOf(pendingClaims.values())) {
            claim(claim.event, claim.receivedAt);
        }
    }

    /**
     * This generation owns the request ids again and accepts the claimed requests in their order of arrival.
     */
    void takeOwnership() {
        mustClaim = false;
        List<Claim> waiting = new ArrayList<>(pendingClaims.values());
        waiting.sort((a, b) -> Long.compare(a.number, b.number));
        pendingClaims.clear();
        for (Claim claim : waiting) {
            admission.admit(claim.event, now.getAsLong() - claim.receivedAt);
        }
    }

    /** Replaces the known state of a generation. */
    void adoptState(int generation, GenerationState state) {
        openIds.put(generation, new HashSet<>(state.requestIds()));
        Set<Long> tokens = attemptsInFlight.computeIfAbsent(generation, key -> new HashSet<>());
        state.attemptsInFlight().forEach(sent -> tokens.add(sent.token()));
    }

    /** Returns the request ids that a generation has open. */
    Set<String> openIds(int generation) {
        return openIds.getOrDefault(generation, Set.of());
    }

    /** Forgets a generation that has ended and returns its attempts in flight, which have ended with it. */
    Set<Long> generationEnded(int generation) {
        openIds.remove(generation);
        Set<Long> tokens = attemptsInFlight.remove(generation);
        return tokens == null ? Set.of() : tokens;
    }

    void attemptSent(int generation, long token) {
        attemptsInFlight.computeIfAbsent(generation, key -> new HashSet<>()).add(token);
    }

    void attemptEnded(int generation, long token) {
        attemptsInFlight.getOrDefault(generation, new HashSet<>()).remove(token);
    }

    /** Whether the id is being claimed here or open in another generation. */
    boolean isClaimedOrOpen(String id) {
        return pendingClaims.containsKey(id) || openIds.values().stream().anyMatch(held -> held.contains(id));
    }

    /** Asks the owner of the request ids whether this request may be accepted. */
    void claim(Event.RequestReceived event) {
        counters.add("claims.made");
        claim(event, now.getAsLong());
    }

    private void claim(Event.RequestReceived event, long receivedAt) {
        String id = event.request().id();
        Claim claim = new Claim(event, ++lastClaimNumber, receivedAt);
        pendingClaims.put(id, claim);
        effects.accept(new Effect.SendToGenerations(new GenerationMessage.Claim(id, claim.number)));
        timers.runAt(now.getAsLong() + CLAIM_TIMEOUT_MICROS, () -> {
            if (pendingClaims.remove(id, claim)) {
                counters.add("claims.unanswered");
                effects.accept(new Effect.SendToGenerations(
                        new GenerationMessage.RequestReleased(id, false)));
                admission.refuse(event);
            }
        });
    }

    /** Gives up the client's requests that are being claimed and returns them. */
    List<Event.RequestReceived> clientDisconnected(long client) {
        List<Event.RequestReceived> abandoned = new ArrayList<>();
        for (Claim claim : List.copyOf(pendingClaims.values())) {
            if (claim.event.client() == client) {
                abandoned.add(claim.event);
                pendingClaims.remove(claim.event.request().id());
                effects.accept(new Effect.SendToGenerations(
                        new GenerationMessage.RequestReleased(claim.event.request().id(), false)));
            }
        }
        return abandoned;
    }

    /**
     * Answers another generation's claim, which is refused if this generation doesn't own the ids or the id
     * is open here or in a third one.
     */
    void answerClaim(int generation, GenerationMessage.Claim claim, boolean isTakenHere) {
        boolean elsewhere = openIds.entrySet().stream()
                .anyMatch(entry -> entry.getKey() != generation && entry.getValue().contains(claim.id()));
        boolean granted = !mustClaim && !isTakenHere && !elsewhere;
        if (granted) {
            openIds.computeIfAbsent(generation, key -> new HashSet<>()).add(claim.id());
        }
        effects.accept(new Effect.SendToGenerations(
                new GenerationMessage.ClaimAnswer(generation, claim.id(), claim.claimNumber(), granted)));
    }

    /** Accepts or rejects a request when its claim is answered; an answer to an older claim is ignored. */
    void claimAnswered(GenerationMessage.ClaimAnswer answer) {
        Claim claim = pendingClaims.get(answer.id());
        if (claim == null || claim.number != answer.claimNumber()) {
            return;
        }
        pendingClaims.remove(answer.id());
        if (answer.granted()) {
            admission.admit(claim.event, now.getAsLong() - claim.receivedAt);
        } else {
            admission.rejectDuplicate(claim.event);
        }
    }

    void requestReleased(int generation, String id) {
        Set<String> held = openIds.get(generation);
        if (held != null) {
            held.remove(id);
        }
    }
}

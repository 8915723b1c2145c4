package yewdock.verification;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import yewdock.consensus.ConsensusNode;
import yewdock.rules.RuleKind;
import yewdock.rules.RuleStateMachine;
import yewdock.rules.RulesView;
import yewdock.wire.HistoryLine;
import yewdock.wire.Proposed;
import yewdock.wire.RuleChange;

/**
 * Checks the decisions of simulated routers against the changes that their consensus has committed, all on
 * one outside clock: all members have the same history, no accepted change is lost or applied twice, outcomes
 * follow the order of the proposals, and no router that may decide contradicts a change in force. Times are
 * in microseconds.
 */
public final class ConsensusChecker {
    private final long maxStalenessMicros;
    private final List<String> violations = new ArrayList<>();
    private final Map<Long, Long> chainHashes = new HashMap<>();
    private final Map<String, Long> preparedAt = new HashMap<>();
    private final Map<Long, Long> preparedSteps = new TreeMap<>();
    private final Map<String, Long> inForceAt = new LinkedHashMap<>();
    private final Map<String, Long> cordonedSince = new HashMap<>();
    private final Map<String, Long> stepBeforeFirstProposal = new HashMap<>();
    private final Set<String> acceptedChanges = new HashSet<>();
    private final Map<String, Integer> eventCounts = new TreeMap<>();
    private long latestStep;
    private long latestRevision;
    private long latestAnsweredStep;
    private long longestStaleness;
    private long contradictions;
    private long longestContradiction;
    private long decisions;
    private long inDoubt;

    /** A proposed change, with the latest step that had been answered when it was first proposed. */
    record ProposedChange(RuleChange change, long latestAnsweredStep) {
    }

    ConsensusChecker(long maxStalenessMicros) {
        this.maxStalenessMicros = maxStalenessMicros;
    }

    private void violation(String what) {
        if (violations.size() < 20) {
            violations.add(what);
        }
    }

    /** Records that a change is proposed, again if it is a retry. */
    ProposedChange proposed(RuleChange change) {
        // a retry gets the outcome of the first proposal
        return new ProposedChange(change,
                stepBeforeFirstProposal.computeIfAbsent(change.getId(), id -> latestAnsweredStep));
    }

    /** Checks the answer to a proposal. */
    void answered(ProposedChange proposal, Proposed answer, long now) {
        if (!answer.hasOutcome()) {
            return;
        }
        long step = answer.getOutcome().getStep();
        if (answer.getOutcome().getRefusal() == 0) {
            acceptedChanges.add(proposal.change.getId());
        }
        if (step <= proposal.latestAnsweredStep && step > 0) {
            violation(now + ": " + proposal.change.getId() + " got step " + step + ", but step "
                    + proposal.latestAnsweredStep + " had been answered before it was proposed");
        }
        latestAnsweredStep = Math.max(latestAnsweredStep, step);
    }

    /** Checks a member's committed rules after each of its actions. */
    void checkCommittedRules(String name, ConsensusNode consensusNode, long now) {
        RuleStateMachine rules = consensusNode.committedRules();
        if (rules == null || rules.step() == 0) {
            return;
        }
        Long otherChain = chainHashes.putIfAbsent(rules.step(), rules.chain());
        if (otherChain != null && otherChain != rules.chain()) {
            violation(now + ": " + name + " has a different step " + rules.step());
        }
        if (rules.step() <= latestStep) {
            return;
        }
        latestStep = rules.step();
        rules.pendingChanges().forEach((id, step) -> {
            if (preparedAt.putIfAbsent(id, now) == null) {
                preparedSteps.put(step, now);
            }
        });
        for (HistoryLine line : rules.history()) {
            if (line.getRevision() <= latestRevision) {
                continue;
            }
            latestRevision = line.getRevision();
            RuleChange change = line.getChange();
            if (inForceAt.put(change.getId(), now) != null) {
                violation(now + ": " + change.getId() + " was applied twice");
            }
            String server = RuleKind.name(change.getSubject());
            if (change.hasValue()) {
                cordonedSince.put(server, now);
            } else {
                cordonedSince.remove(server);
            }
        }
    }

    /**
     * Checks a router's decision about every server.
     *
     * @param name the router
     * @param mayDecide whether it holds a lease and so may decide
     * @param step the step of the rules that it decides by
     * @param view those rules
     */
    void checkDecision(String name, boolean mayDecide, long step, RulesView view, long now) {
        decisions++;
        if (!mayDecide) {
            inDoubt++;
            return;
        }
        for (Map.Entry<Long, Long> prepared : preparedSteps.entrySet()) {
            if (prepared.getKey() > view.step()) {
                long behind = now - prepared.getValue();
                longestStaleness = Math.max(longestStaleness, behind);
                if (behind > maxStalenessMicros) {
                    violation(now + ": " + name + " decides by step " + view.step() + ", and step "
                            + prepared.getKey() + " was prepared " + behind + " us ago");
                }
                break;
            }
        }
        for (Map.Entry<String, Long> cordoned : cordonedSince.entrySet()) {
            if (!view.cordonedServers().contains(cordoned.getKey())) {
                contradictions++;
                longestContradiction = Math.max(longestContradiction, now - cordoned.getValue());
                violation(now + ": " + name + " sends to " + cordoned.getKey()
                        + ", cordoned by consensus for " + (now - cordoned.getValue()) + " us");
            }
        }
    }

    /** Counts a logged event; a diverged history is a violation. */
    void eventLogged(String event, String what, long now) {
        eventCounts.merge(event, 1, Integer::sum);
        if (event.equals("agreement.diverged")) {
            violation(now + ": " + event + " " + what);
        }
    }

    /** At the end of a run, with all faults over: checks that each accepted change is in force. */
    public void checkNothingLost(RuleStateMachine rules) {
        for (String id : acceptedChanges) {
            if (rules.outcome(id) == null) {
                violation("the change " + id + " was accepted, and is lost");
            } else if (rules.outcome(id).getRevision() == 0) {
                violation("the change " + id + " was accepted, but is not in force");
            }
        }
    }

    /** The violations found so far, oldest first; at most 20. */
    public List<String> violations() {
        return violations;
    }

    /** The longest time for which a router decided without knowing of a prepared change. */
    public long longestStaleness() {
        return longestStaleness;
    }

    /** The longest time for which a router sent to a cordoned server. */
    public long longestContradiction() {
        return longestContradiction;
    }

    /** Number of decisions checked, including those in doubt. */
    public long decisions() {
        return decisions;
    }

    /** Number of decisions that a router could not take because it held no lease. */
    public long inDoubt() {
        return inDoubt;
    }

    /** Number of changes that came into force. */
    public int changesInForce() {
        return inForceAt.size();
    }

    /** The time from prepared to in force of each change, in the order in which they came into force. */
    public List<Long> activationTimes() {
        List<Long> times = new ArrayList<>();
        inForceAt.forEach((id, at) -> times.add(at - preparedAt.getOrDefault(id, at)));
        return times;
    }

    /** Number of logged events by event name. */
    public Map<String, Integer> eventCounts() {
        return eventCounts;
    }
}

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
 * Holds what routers decide against what their council has agreed, all seen from outside by one clock: one
 * history, nothing lost or applied twice, answers in the order of their calls, and no contradiction.
 */
public final class CouncilJudge {
    private final long agreedWithin;
    private final List<String> broken = new ArrayList<>();
    private final Map<Long, Long> chains = new HashMap<>();
    private final Map<String, Long> preparedAt = new HashMap<>();
    private final Map<Long, Long> preparedSteps = new TreeMap<>();
    private final Map<String, Long> forcedAt = new LinkedHashMap<>();
    private final Map<String, Long> outSince = new HashMap<>();
    private final Map<String, Long> firstAsked = new HashMap<>();
    private final Set<String> taken = new HashSet<>();
    private final Map<String, Integer> notes = new TreeMap<>();
    private long highest;
    private long history;
    private long answeredStep;
    private long longestBehind;
    private long contradictions;
    private long longestContradiction;
    private long decisions;
    private long inDoubt;

    /** A change that is asked for; the latest step answered before. */
    record Call(RuleChange change, long after) {
    }

    CouncilJudge(long agreedWithin) {
        this.agreedWithin = agreedWithin;
    }

    private void broken(String what) {
        if (broken.size() < 20) {
            broken.add(what);
        }
    }

    Call asks(RuleChange change) {
        // a retry is answered with the outcome of the first call
        return new Call(change, firstAsked.computeIfAbsent(change.getId(), id -> answeredStep));
    }

    void answered(Call call, Proposed answer, long now) {
        if (!answer.hasOutcome()) {
            return;
        }
        long step = answer.getOutcome().getStep();
        if (answer.getOutcome().getRefusal() == 0) {
            taken.add(call.change.getId());
        }
        if (step <= call.after && step > 0) {
            broken(now + ": " + call.change.getId() + " was given step " + step + ", but step " + call.after
                    + " had been answered before it was asked for");
        }
        answeredStep = Math.max(answeredStep, step);
    }

    /** How a member's rules stand after what it has just done. */
    void stands(String name, ConsensusNode council, long now) {
        RuleStateMachine rules = council.committedRules();
        if (rules == null || rules.step() == 0) {
            return;
        }
        Long chain = chains.putIfAbsent(rules.step(), rules.chain());
        if (chain != null && chain != rules.chain()) {
            broken(now + ": " + name + " holds another step " + rules.step());
        }
        if (rules.step() <= highest) {
            return;
        }
        highest = rules.step();
        rules.pendingChanges().forEach((id, step) -> {
            if (preparedAt.putIfAbsent(id, now) == null) {
                preparedSteps.put(step, now);
            }
        });
        for (HistoryLine line : rules.history()) {
            if (line.getRevision() <= history) {
                continue;
            }
            history = line.getRevision();
            RuleChange change = line.getChange();
            if (forcedAt.put(change.getId(), now) != null) {
                broken(now + ": " + change.getId() + " was applied twice");
            }
            String box = RuleKind.name(change.getSubject());
            if (change.hasValue()) {
                outSince.put(box, now);
            } else {
                outSince.remove(box);
            }
        }
    }

    /** A router decides about every box: whether it may act, by what step, and by which view. */
    void decides(String name, boolean may, long step, RulesView view, long now) {
        decisions++;
        if (!may) {
            inDoubt++;
            return;
        }
        for (Map.Entry<Long, Long> p : preparedSteps.entrySet()) {
            if (p.getKey() > view.step()) {
                long behind = now - p.getValue();
                longestBehind = Math.max(longestBehind, behind);
                if (behind > agreedWithin) {
                    broken(now + ": " + name + " acts by step " + view.step() + ", and step " + p.getKey()
                            + " was prepared " + behind + " us ago");
                }
                break;
            }
        }
        for (Map.Entry<String, Long> out : outSince.entrySet()) {
            if (!view.cordonedServers().contains(out.getKey())) {
                contradictions++;
                longestContradiction = Math.max(longestContradiction, now - out.getValue());
                broken(now + ": " + name + " sends to " + out.getKey() + ", out by agreement for "
                        + (now - out.getValue()) + " us");
            }
        }
    }

    void notes(String event, String what, long now) {
        notes.merge(event, 1, Integer::sum);
        if (event.equals("agreement.diverged")) {
            broken(now + ": " + event + " " + what);
        }
    }

    /** At the end, with all whole again: what was taken is there. */
    public void nothingLost(RuleStateMachine rules) {
        for (String id : taken) {
            if (rules.outcome(id) == null) {
                broken("the change " + id + " was taken, and is lost");
            } else if (rules.outcome(id).getRevision() == 0) {
                broken("the change " + id + " was taken, and has not come into force");
            }
        }
    }

    /** What was broken, first things first. */
    public List<String> broken() {
        return broken;
    }

    /** The longest time for which somebody acted without knowing of a change that had been prepared. */
    public long longestBehind() {
        return longestBehind;
    }

    public long longestContradiction() {
        return longestContradiction;
    }

    public long decisions() {
        return decisions;
    }

    public long inDoubt() {
        return inDoubt;
    }

    /** Changes that took force. */
    public int forced() {
        return forcedAt.size();
    }

    /** From preparing to force, by change, in the order of force. */
    public List<Long> timesToForce() {
        List<Long> times = new ArrayList<>();
        forcedAt.forEach((id, at) -> times.add(at - preparedAt.getOrDefault(id, at)));
        return times;
    }

    public Map<String, Integer> notes() {
        return notes;
    }
}

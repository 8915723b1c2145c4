package yewdock.model;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The prefix cache of a simulated server, with eviction of the least recently used entry, sessions before
 * shared prefixes. A session's own tokens are usable only while the shared prefix before them is cached too.
 */
final class PrefixCache {
    // both maps are in order of use: an entry that is used is removed and inserted again
    private final LinkedHashMap<Long, Integer> sessionTokens = new LinkedHashMap<>();
    private final LinkedHashMap<Long, Integer> prefixTokens = new LinkedHashMap<>();
    private long cachedTokens;

    /** The number of all cached tokens. */
    long cachedTokens() {
        return cachedTokens;
    }

    /** How many tokens of a prompt are cached, in whole blocks; doesn't count as a use. */
    int lookup(SimulatedRequest request, int blockTokens) {
        boolean noPrefix = request.prefix == 0;
        if (!noPrefix && !prefixTokens.containsKey(request.prefix)) {
            return 0;
        }
        int ownTokens = sessionTokens.getOrDefault(request.session, 0);
        int heldTokens = Math.min(request.promptTokens, (noPrefix ? 0 : request.prefixTokens) + ownTokens);
        return heldTokens / blockTokens * blockTokens;
    }

    /**
     * Uses the cached tokens of a prompt and returns their number, in whole blocks; the session's own tokens
     * leave the cache and belong to the running request from then on.
     */
    int take(SimulatedRequest request, int blockTokens) {
        if (request.prefix != 0) {
            Integer prefixTokensHeld = prefixTokens.remove(request.prefix);
            if (prefixTokensHeld == null) {
                return 0;
            }
            prefixTokens.put(request.prefix, prefixTokensHeld);
        }
        Integer ownTokens = sessionTokens.remove(request.session);
        if (ownTokens != null) {
            cachedTokens -= ownTokens;
        }
        int heldTokens = Math.min(request.promptTokens,
                (request.prefix == 0 ? 0 : request.prefixTokens) + (ownTokens == null ? 0 : ownTokens));
        return heldTokens / blockTokens * blockTokens;
    }

    /** Caches the shared prefix of a request, if it has one. */
    void putPrefix(SimulatedRequest request) {
        if (request.prefix != 0 && prefixTokens.put(request.prefix, request.prefixTokens) == null) {
            cachedTokens += request.prefixTokens;
        }
    }

    /** Caches the tokens of a session beyond its shared prefix. */
    void putSession(SimulatedRequest request, int ownTokens) {
        Integer previous = sessionTokens.remove(request.session);
        sessionTokens.put(request.session, ownTokens);
        cachedTokens += ownTokens - (previous == null ? 0 : previous);
    }

    /** Evicts entries until no more than this many tokens are cached. */
    void evictTo(long maxTokens) {
        Iterator<Map.Entry<Long, Integer>> session = sessionTokens.entrySet().iterator();
        while (cachedTokens > maxTokens && session.hasNext()) {
            cachedTokens -= session.next().getValue();
            session.remove();
        }
        Iterator<Map.Entry<Long, Integer>> prefix = prefixTokens.entrySet().iterator();
        while (cachedTokens > maxTokens && prefix.hasNext()) {
            cachedTokens -= prefix.next().getValue();
            prefix.remove();
        }
    }

    void clear() {
        sessionTokens.clear();
        prefixTokens.clear();
        cachedTokens = 0;
    }
}

package yewdock.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import umberspread.Routing.Lifecycle;
import umberspread.Routing.ServerState;

/** Operator overrides applied to the endpoint list. */
class KnownServersTest {
    private static final long MAX_COLD_MICROS = 8_700_000;
    private long nowMicros = 1_000_000_000L;
    private final KnownServers servers = new KnownServers(() -> nowMicros, MAX_COLD_MICROS);

    private static ModelServer server(String address, Lifecycle lifecycle, long startedAt) {
        return new ModelServer("s-1", address, new ServerState(1, 0, 0, 0, 1, lifecycle, startedAt));
    }

    private void applyList(boolean full, ModelServer... all) {
        servers.apply(new EndpointList(1, full, List.of(all)));
    }

    private Lifecycle lifecycle() {
        return servers.get(1).replica().lifecycle();
    }

    @Test
    void cordonOutlastsListChanges() {
        applyList(true, server("a:1", Lifecycle.READY, 0));
        servers.cordon("s-1");
        assertEquals(Lifecycle.DRAINING, lifecycle());
        applyList(false, server("b:1", Lifecycle.READY, 5));
        assertEquals(Lifecycle.DRAINING, lifecycle());
        applyList(false, server("b:1", Lifecycle.GONE, 0));
        applyList(true);
        assertTrue(servers.isCordoned("s-1"));
        applyList(true, server("c:1", Lifecycle.READY, 7));
        assertEquals(Lifecycle.DRAINING, lifecycle());
    }

    @Test
    void uncordonUndoesTwoCordonsAndServerIsCold() {
        applyList(true, server("a:1", Lifecycle.READY, 0));
        servers.cordon("s-1");
        servers.cordon("s-1");
        nowMicros += 3_000_000;
        servers.uncordon("s-1");
        assertEquals(Lifecycle.READY, lifecycle());
        assertEquals(nowMicros, servers.get(1).replica().startedAt());
        // the list reports the restart late, and then another one
        applyList(false, server("a:1", Lifecycle.READY, nowMicros - 2_000_000));
        assertEquals(nowMicros, servers.get(1).replica().startedAt());
        applyList(false, server("a:1", Lifecycle.READY, nowMicros + 1));
        assertEquals(nowMicros + 1, servers.get(1).replica().startedAt());
    }

    @Test
    void listedDrainOutlastsUncordon() {
        applyList(true, server("a:1", Lifecycle.DRAINING, 0));
        servers.cordon("s-1");
        servers.uncordon("s-1");
        assertEquals(Lifecycle.DRAINING, lifecycle());
    }

    /** An override set by the daemon's drain command ends like one set over the admin interface. */
    @Test
    void drainAndUndrainEqualCordonAndUncordon() {
        applyList(true, server("a:1", Lifecycle.READY, 0));
        servers.replaceOverrides(Map.of("s-1", OperatorOverride.DRAINS));
        assertTrue(servers.isCordoned("s-1"));
        servers.replaceOverrides(Map.of());
        assertFalse(servers.isCordoned("s-1"));
        assertEquals(nowMicros, servers.get(1).replica().startedAt());
        nowMicros += MAX_COLD_MICROS + 1;
        servers.cordon("s-2");
        assertEquals(0, servers.get(1).replica().startedAt(), "warm by now: the override has expired");
    }
}

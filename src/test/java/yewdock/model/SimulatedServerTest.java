package yewdock.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/** Tests a single simulated server step by step, and the event calendar. */
class SimulatedServerTest {
    private final EventCalendar calendar = new EventCalendar();
    private final List<String> events = new ArrayList<>();
    private final InferenceJob.JobListener listener = new InferenceJob.JobListener() {
        @Override
        public void firstToken(InferenceJob job) {
            events.add(calendar.nowMicros() + " begun " + job.request().number());
        }

        @Override
        public void completed(InferenceJob job) {
            events.add(calendar.nowMicros() + " done " + job.request().number());
        }

        @Override
        public void failed(InferenceJob job) {
            events.add(calendar.nowMicros() + " lost " + job.request().number());
        }
    };

    /** A server with steps of 10 ms, plus 1 ms per request and 100 ms per 1,000 tokens read. */
    private SimulatedServer newServer(int slots, int queueLimit, long memoryTokens, boolean dropsExpired) {
        SimulatedServer.ServerSpec spec = new SimulatedServer.ServerSpec(0, slots, queueLimit, memoryTokens,
                10, 1, 0, 0, 10_000, 1000, 0.5, 10, false, 0, dropsExpired, false);
        return new SimulatedServer(0, 1, 0, spec, 1, calendar, new RandomStreams(1).stream("test"));
    }

    private InferenceJob newJob(long number, long session, int prompt, int outputTokens) {
        return new InferenceJob(new SimulatedRequest(number, 0, 0, 0, session, 0, prompt, 0, prompt,
                outputTokens, outputTokens, 0, 0), listener, 1000, 0.1);
    }

    private void runToEnd() {
        while (calendar.runNext()) {
            // runNext does the work
        }
    }

    @Test
    void promptIsReadInChunksThenEachStepGeneratesAToken() {
        assertTrue(newServer(4, 4, 100_000, false).submit(newJob(1, 1, 2000, 3)));
        runToEnd();
        // two steps of 111 ms that read 1,000 tokens each, then two of 11 ms
        assertEquals(List.of("222000 begun 1", "244000 done 1"), events);
    }

    @Test
    void cachedPromptTokensAreNotReadAgain() {
        SimulatedServer server = newServer(4, 4, 100_000, false);
        server.submit(newJob(1, 7, 1024, 1));
        runToEnd();
        long firstDoneAt = calendar.nowMicros();
        InferenceJob repeated = newJob(2, 7, 1056, 1);
        server.submit(repeated);
        runToEnd();
        assertEquals(1024, repeated.cachedPromptTokens());
        // only the last 32 tokens are read
        assertEquals(firstDoneAt + 11_000 + 3_200, calendar.nowMicros());
    }

    @Test
    void leastRecentlyUsedPromptIsEvictedFirst() {
        SimulatedServer server = newServer(1, 8, 3000, false);
        for (long session = 1; session <= 3; session++) {
            server.submit(newJob(session, session, 1024, 1));
            runToEnd();
        }
        InferenceJob oldest = newJob(8, 1, 1024, 1);
        InferenceJob newest = newJob(9, 3, 1024, 1);
        server.submit(newest);
        runToEnd();
        server.submit(oldest);
        runToEnd();
        assertEquals(1024, newest.cachedPromptTokens());
        assertEquals(0, oldest.cachedPromptTokens());
    }

    @Test
    void slotsAndQueueAreBounded() {
        SimulatedServer server = newServer(2, 1, 100_000, false);
        assertTrue(server.submit(newJob(1, 1, 10, 5)));
        assertTrue(server.submit(newJob(2, 2, 10, 5)));
        assertTrue(server.submit(newJob(3, 3, 10, 5)));
        assertFalse(server.submit(newJob(4, 4, 10, 5)));
        runToEnd();
        assertEquals(3, events.stream().filter(t -> t.contains("done")).count());
    }

    /** The preempted request is read again and keeps the tokens that it has generated. */
    @Test
    void newestRequestIsPreemptedWhenMemoryRunsOut() {
        SimulatedServer server = newServer(4, 4, 1050, false);
        server.submit(newJob(1, 1, 500, 60));
        server.submit(newJob(2, 2, 500, 60));
        runToEnd();
        assertTrue(server.preemptions > 0);
        assertEquals(4, events.size());
        assertTrue(events.get(3).endsWith("done 2"), events.toString());
        assertEquals(1, events.stream().filter(t -> t.contains("begun 2")).count());
    }

    /** Each job of a crashed server, abandoned ones too, is reported as lost once and never again. */
    @Test
    void crashLosesRunningQueuedAndAbandonedJobs() {
        SimulatedServer server = newServer(1, 8, 100_000, true);
        for (int i = 1; i <= 4; i++) {
            InferenceJob job = newJob(i, i, 100, 50);
            server.submit(job);
            if (i % 2 == 0) {
                job.markAbandoned();
            }
        }
        calendar.runUntil(100_000);
        server.crash(false);
        runToEnd();
        assertEquals(List.of("100000 lost 1", "100000 lost 2", "100000 lost 3", "100000 lost 4"),
                events.stream().filter(t -> t.contains("lost")).toList());
        assertEquals(0, server.inFlight());
        server.restart();
        assertEquals(0.5, server.capacityShare(), 1e-9);
        server.submit(newJob(9, 9, 100, 2));
        runToEnd();
        assertTrue(events.get(events.size() - 1).endsWith("done 9"));
    }

    @Test
    void abandonedQueuedJobIsDroppedOnlyIfTheServerDropsExpired() {
        for (boolean dropsExpired : List.of(true, false)) {
            events.clear();
            SimulatedServer server = newServer(1, 8, 100_000, dropsExpired);
            server.submit(newJob(1, 1, 100, 50));
            InferenceJob late = newJob(2, 2, 100, 1);
            server.submit(late);
            late.markAbandoned();
            runToEnd();
            assertEquals(dropsExpired, events.stream().anyMatch(t -> t.endsWith("lost 2")));
            assertEquals(!dropsExpired, events.stream().anyMatch(t -> t.endsWith("done 2")));
        }
    }

    @Test
    void hungServerResumesWhereItStopped() {
        SimulatedServer server = newServer(1, 8, 100_000, false);
        server.submit(newJob(1, 1, 100, 5));
        calendar.runUntil(30_000);
        server.setHung(true);
        calendar.runUntil(1_000_000);
        assertEquals(1, server.inFlight());
        server.setHung(false);
        runToEnd();
        assertTrue(events.get(events.size() - 1).endsWith("done 1"));
        assertTrue(calendar.nowMicros() > 1_000_000);
    }

    @Test
    void eventsAtEqualTimesRunInSchedulingOrder() {
        List<Integer> order = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            int index = i;
            calendar.scheduleAt(50, () -> order.add(index));
        }
        calendar.scheduleAt(10, () -> calendar.scheduleAt(50, () -> order.add(100)));
        runToEnd();
        for (int i = 0; i <= 100; i++) {
            assertEquals(i, order.get(i));
        }
    }

    /**
     * For any load: each request starts once, generates all its tokens and ends once, and frees its memory.
     */
    @Property(tries = 200)
    void everyRequestStartsAndCompletesOnceAndFreesItsMemory(
            @ForAll @Size(min = 1, max = 40) List<@IntRange(min = 1, max = 900) Integer> prompts,
            @ForAll @IntRange(min = 1, max = 8) int slots,
            @ForAll @IntRange(min = 1200, max = 5000) int memoryTokens) {
        EventCalendar eventCalendar = new EventCalendar();
        SimulatedServer.ServerSpec spec = new SimulatedServer.ServerSpec(0, slots, 100, memoryTokens, 10, 1,
                0.1, 1, 10_000, 256, 0.5, 10, true, 0, false, true);
        SimulatedServer server = new SimulatedServer(0, 1, 0, spec, 1.5, eventCalendar,
                new RandomStreams(2).stream("test"));
        int[] started = new int[prompts.size()];
        int[] done = new int[prompts.size()];
        InferenceJob.JobListener counting = new InferenceJob.JobListener() {
            @Override
            public void firstToken(InferenceJob job) {
                started[(int) job.request().number()]++;
            }

            @Override
            public void completed(InferenceJob job) {
                done[(int) job.request().number()]++;
                assertEquals(job.request().outputTokens(), job.generatedTokens());
            }

            @Override
            public void failed(InferenceJob job) {
                throw new AssertionError("lost " + job.request().number());
            }
        };
        for (int i = 0; i < prompts.size(); i++) {
            SimulatedRequest request = new SimulatedRequest(i, 0, 0, 0, i % 5 + 1, 0, prompts.get(i), 0,
                    prompts.get(i), 1 + i * 7 % 90, 100, 0, 0);
            eventCalendar.scheduleAt(i * 5_000L,
                    () -> assertTrue(server.submit(new InferenceJob(request, counting, 0, 0.1))));
        }
        while (eventCalendar.runNext()) {
            assertTrue(server.inFlight() <= prompts.size());
        }
        for (int i = 0; i < started.length; i++) {
            assertEquals(1, started[i]);
            assertEquals(1, done[i]);
        }
        assertEquals(0, server.inFlight());
        assertEquals(0, server.memoryUsedShare());
    }
}

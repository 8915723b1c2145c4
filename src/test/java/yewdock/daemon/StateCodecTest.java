package yewdock.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.protobuf.ByteString;
import com.google.protobuf.UnknownFieldSet;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import umberspread.LearnedState;
import umberspread.Routing.Lifecycle;
import umberspread.Routing.ServerState;
import yewdock.core.EndpointList;
import yewdock.core.GenerationMessage;
import yewdock.core.GenerationState;
import yewdock.core.ModelServer;
import yewdock.wire.State;

/**
 * Encoding and decoding of the state that one generation hands to the next: nothing is lost, and a state that
 * can't be decoded is rejected with a clear message.
 */
class StateCodecTest {
    private static final LearnedState LEARNED_STATE = new LearnedState(1, 2, 3, 4, 8, 9, List.of(1.0, 2.0),
            Map.of(0, 1.5), List.of(0.5), List.of(100L), List.of(101L),
            List.of(new LearnedState.LearnedServer(7, 64, List.of(5L, 0L), List.of(1, 0), 900, 2, 1, 800, 50,
                    700, 600)),
            List.of(new LearnedState.LearnedKey(42, 3.5, 4, 0)), List.of(11.0));
    private static final GenerationState GENERATION = new GenerationState(List.of("x", "y"), List.of("z"),
            List.of(new GenerationMessage.AttemptSent(3, 7)),
            listStartedAt(123), "127.0.0.1:8500", true, Map.of(7L, 2_000L));

    private static EndpointList listStartedAt(long startedAt) {
        return new EndpointList(41, true, List.of(new ModelServer("s-7", "127.0.0.1:9001",
                new ServerState(7, 1, 2, 3, 1.5, Lifecycle.DRAINING, startedAt))));
    }

    private static State state() {
        return StateCodec.write(GENERATION, LEARNED_STATE, Map.of("answers.served", 5L), 1_000_000,
                2_000_000_000L);
    }

    @Test
    void stateIsPreservedAndShiftedToTheReadersClock() throws Exception {
        // read 3 ms later by the monotonic clock; the reader's own clock is 1 s ahead of the writer's
        StateCodec.InheritedState inherited = StateCodec.read(state(), 2_003_000, 2_003_000_000L);
        assertEquals(1_000_000, inherited.clockShiftMicros());
        assertEquals(LEARNED_STATE, inherited.learnedState());
        // the wall clock was stepped between the starts of the two processes
        assertEquals(listStartedAt(1_000_123), inherited.endpointList());
        assertEquals(GENERATION.endpointList(),
                StateCodec.read(state(), 1_050_000, 2_003_000_000L).endpointList());
        assertEquals("127.0.0.1:8500", inherited.discoveryAddress());
        assertEquals(Map.of(7L, 1_002_000L), inherited.stateReportedAt());
        assertEquals(Map.of("answers.served", 5L), inherited.counters());
        assertEquals(GENERATION.requestIds(),
                StateCodec.decodeGenerationState(StateCodec.encodeGenerationState(GENERATION)).requestIds());
        assertEquals(GENERATION.recentIds(),
                StateCodec.decodeGenerationState(StateCodec.encodeGenerationState(GENERATION)).recentIds());
        assertEquals(GENERATION.attemptsInFlight(), StateCodec.decodeGenerationState(
                StateCodec.encodeGenerationState(GENERATION)).attemptsInFlight());
        assertTrue(StateCodec.decodeGenerationState(
                StateCodec.encodeGenerationState(GENERATION)).listConfirmed());
    }

    @Test
    void unknownFieldsOfANewerVersionAreSkipped() throws Exception {
        State later = state().toBuilder().setVersion(9).setLeastReader(1).setUnknownFields(
                UnknownFieldSet.newBuilder().addField(500, UnknownFieldSet.Field.newBuilder()
                        .addLengthDelimited(ByteString.copyFromUtf8("news")).build()).build()).build();
        assertEquals(LEARNED_STATE, StateCodec.read(State.parseFrom(later.toByteArray()), 1,
                2_000_000_000L).learnedState());
    }

    @Test
    void unreadableStateIsRejectedWithOneLine() throws Exception {
        assertNull(StateCodec.read(State.getDefaultInstance(), 1, 1));
        assertRejected("for readers of 2 or later",
                state().toBuilder().setVersion(2).setLeastReader(2).build());
        assertRejected("reads versions from 1 on", state().toBuilder().setVersion(0).build());
        assertRejected("before this machine was rebooted",
                state().toBuilder().setMonoNanos(Long.MAX_VALUE).build());
        State.Builder odd = state().toBuilder();
        odd.getBoxesBuilder().getBoxesBuilder(0).setLifecycle(77);
        assertRejected("an unknown state", odd.build());
    }

    private static void assertRejected(String words, State state) {
        String said = assertThrows(UnreadableStateException.class,
                () -> StateCodec.read(state, 1, 2_000_000_000L)).getMessage();
        assertTrue(said.contains(words) && said.lines().count() == 1, said);
    }
}

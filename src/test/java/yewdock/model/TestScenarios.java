package yewdock.model;

import java.util.LinkedHashMap;
import java.util.Map;
import yewdock.scenario.ScenarioFile;
import yewdock.settings.InvalidSettingsException;

/** Scenarios for tests: a small one, and variants of it with some values replaced. */
public final class TestScenarios {
    /** A small scenario with two request classes and two municipalities, as the text of a scenario file. */
    public static final String SMALL = """
            day {
              seconds = 20
              load = 0.5
            }
            boxes {
              count = 6
            }
            routers {
              count = 2
            }
            kind "gpu" {
              speed = [0.8, 1.6]
            }
            class "complete" {
              share = 0.6
              aim_s = 0.5
              give_up_s = 1.5
              new_tokens = 700
              out_tokens = 20
              turns = 1
            }
            class "chat" {
              share = 0.4
              aim_s = 1.2
              give_up_s = 4
              worth = 5
              turns = 3
            }
            municipality "a" {
              share = 0.7
            }
            municipality "b" {
              share = 0.3
            }
            """;

    private TestScenarios() {
    }

    /** The small scenario, with some values replaced by the given pairs of key and value. */
    public static Scenario small(Object... pairs) {
        return parse(SMALL, pairs);
    }

    /** Parses a scenario, with some values replaced by the given pairs of key and value. */
    static Scenario parse(String text, Object... pairs) {
        Map<String, Object> overrides = new LinkedHashMap<>();
        for (int i = 0; i < pairs.length; i += 2) {
            overrides.put((String) pairs[i], pairs[i + 1]);
        }
        try {
            return ScenarioFile.parse("test", text, overrides);
        } catch (InvalidSettingsException e) {
            throw new IllegalArgumentException(e);
        }
    }

    /** Creates a simulation that discards the routers' log and doesn't measure the module's cost. */
    static Simulation simulation(Scenario scenario, long seed) {
        return new Simulation(new SampledScenario(scenario, seed), line -> {
            // the log is not needed
        }, false);
    }
}

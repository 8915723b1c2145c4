package yewdock.model;

import java.util.LinkedHashMap;
import java.util.Map;
import yewdock.scenario.ScenarioFile;
import yewdock.settings.InvalidSettingsException;

/** Scenarios for tests: a small one, with values put in place of its own. */
public final class Days {
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

    private Days() {
    }

    /** The small scenario with pairs of keys and values. */
    public static Scenario small(Object... pairs) {
        return of(SMALL, pairs);
    }

    static Scenario of(String text, Object... pairs) {
        Map<String, Object> instead = new LinkedHashMap<>();
        for (int i = 0; i < pairs.length; i += 2) {
            instead.put((String) pairs[i], pairs[i + 1]);
        }
        try {
            return ScenarioFile.parse("test", text, instead);
        } catch (InvalidSettingsException e) {
            throw new IllegalArgumentException(e);
        }
    }

    static World world(Scenario scenario, long seed) {
        return new World(new Day(scenario, seed), line -> {
            // not read
        }, false);
    }
}

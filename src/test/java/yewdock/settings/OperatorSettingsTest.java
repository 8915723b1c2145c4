package yewdock.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The operator's settings file is rejected as a whole, with one line for each error. */
class OperatorSettingsTest {
    @Test
    void deployedFileEqualsTheDefaults() throws Exception {
        assertEquals(OperatorSettings.defaults(), OperatorSettings.read(Path.of("deploy/operator.hcl")));
        assertEquals(OperatorSettings.defaults(), OperatorSettings.parse("f", "# nothing\n"));
    }

    @Test
    void eachErrorIsALineOfItsOwn() {
        InvalidSettingsException bad = assertThrows(InvalidSettingsException.class,
                () -> OperatorSettings.parse("f.hcl",
                """
                daemon {
                  config = 3
                  java = "x"
                }
                upgrade {
                  finish_s = -1
                  most_finishing = 2.5
                  most = 1
                }
                log { form = "xml" }
                extra = true
                """));
        assertEquals(List.of("f.hcl: daemon.config: a text, not 3.0",
                "f.hcl: daemon.java: a list of texts, not x",
                "f.hcl: upgrade.finish_s: a number from 1 to 86400, not -1",
                "f.hcl: upgrade.most_finishing: a whole number, not 2.5",
                "f.hcl: upgrade.most: no such key; there are start_s, check_s, state_s, ready_s, "
                + "take_s, share_s, go_s, let_go_s, finish_s, most_finishing",
                "f.hcl: log.form: text or json, not xml",
                "f.hcl: extra: no such key; there are daemon, upgrade, log, store, copies, agreement"),
                bad.errors());
    }

    @Test
    void consensusMembersMustBeKnownInstances() {
        InvalidSettingsException bad = assertThrows(InvalidSettingsException.class, () ->
                OperatorSettings.parse("f",
                "agreement {\n members = [\"a\", \"b\"]\n agreed_within_s = 0.5\n in_doubt = \"hope\"\n}\n"));
        assertEquals(List.of("f: agreement.members: three or five instances, each once, not [a, b]",
                "f: agreement.members: this instance and copies.peers, and a is none of them",
                "f: agreement.members: this instance and copies.peers, and b is none of them",
                "f: agreement.agreed_within_s: a number from 1 to 600, not 0.5",
                "f: agreement.in_doubt: refuse or serve, not hope"), bad.errors());
    }

    /** Text that the parser accepts as empty or repairs silently must be rejected. */
    @Test
    void invalidHclIsRejected() {
        for (String text : List.of("daemon { = ", "daemon {\n config = \"x\"\n", "{\"name\":",
                "daemon { }\ndaemon"
                + " { config = \"a\" }\n")) {
            assertThrows(InvalidSettingsException.class, () -> OperatorSettings.parse("f", text), text);
        }
    }
}

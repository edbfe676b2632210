package anvilslip.settings

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.shouldBe
import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.writeText
import kotlin.time.Duration.Companion.seconds

class SettingsReaderSpec :
    DescribeSpec({
        val folder: Path = Files.createTempDirectory("settings")
        folder.resolve("secret").writeText("0123456789abcdef")

        fun text(
            extra: String = "",
            callers: Int = 7100,
        ) = """
            // A comment.
            {
              "instance": "a",
              "callers": {"host": "127.0.0.1", "port": $callers},
              "operators": {"host": "127.0.0.1", "port": 7200},
              "announcements": {"host": "127.0.0.1", "port": 7400},
              "secretFile": "secret",
              "dataFolder": "data",$extra
              "instances": [
                {"name": "a", "zone": "az1", "peers": {"host": "127.0.0.1", "port": 7300}, "replica": true}
              ]
            }
            """.trimIndent()

        fun findings(text: String) =
            SettingsReader()
                .read(text, "f.json", folder)
                .leftOrNull()
                .orEmpty()
                .map { it.toString() }

        describe("SettingsReader with valid settings") {
            it("applies defaults for omitted keys") {
                val settings = SettingsReader().read(text(), "f.json", folder).getOrNull()!!
                settings.self.zone shouldBe "az1"
                settings.requests.backendSilence shouldBe 5.seconds
            }
        }

        describe("SettingsReader with invalid settings") {
            it("reports all findings at once, each with its place") {
                val reported = findings(text(extra = " \"pollIntervall\": \"1s\", \"maxStaleness\": \"soon\",", callers = 70000))
                reported.size shouldBe 3
                reported shouldContain "f.json:4:44 $.callers.port: must be from 1 to 65535"
                reported shouldContain "f.json:8:64 $.maxStaleness: expected a duration such as \"250ms\" or \"10s\""
            }

            it("reports an address that is used twice") {
                findings(text(callers = 7200)) shouldContain
                    "f.json:4:14 $.callers: address 127.0.0.1:7200 is used for callers and operators of 'a'"
            }

            it("reports missing keys") { findings("{}") shouldContain "f.json:1:1 $.instance: is missing" }

            it("reports the position of a JSON syntax error") { findings("{\n  oops").single().startsWith("f.json:2:") shouldBe true }

            it("reports a repeated key") {
                findings(text(extra = "\"dataFolder\": \"other\",")).single().endsWith("repeated key") shouldBe
                    true
            }
        }
    })

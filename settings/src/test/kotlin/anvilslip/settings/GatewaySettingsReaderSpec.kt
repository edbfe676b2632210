package anvilslip.settings

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlin.io.path.Path
import kotlin.time.Duration.Companion.seconds

class GatewaySettingsReaderSpec :
    DescribeSpec({
        val good =
            """
            // An entry instance.
            {"instance": "e1", "host": "10.0.0.1", "zone": "z", "region": "r", "peerPort": 7600, "metricsPort": 7601,
             "seeds": ["10.0.0.2:90"], "clients": "10.0.0.1:80", "shutdownTime": "8s"}
            """

        fun read(text: String) = GatewaySettingsReader().read(text, "settings", Path("/etc"))

        fun findings(text: String) = read(text).fold({ it.map { finding -> finding.message } }, { emptyList() })

        describe("the settings of an instance that finds the others through seeds") {
            it("are read, with seeds by their hosts") {
                val settings = read(good).getOrNull()!!
                settings.seeds shouldBe setOf("10.0.0.2")
                settings.clients shouldBe Address("10.0.0.1", 80)
                settings.shutdownTime shouldBe 8.seconds
                settings.isControl shouldBe false
            }

            it("need a role") {
                findings(good.replace("\"clients\": \"10.0.0.1:80\", ", "")) shouldBe listOf("needs 'clients' or 'control'")
            }

            it("need a data folder for control") {
                findings(good.replace("clients", "control")) shouldBe listOf("is needed for 'control'")
            }

            it("are refused with all that is wrong") {
                findings(good.replace("7601", "7600").replace("10.0.0.1:80", "here")) shouldBe
                    listOf("expected host:port, not 'here'", "needs 'clients' or 'control'", "is the same as peerPort")
            }
        }
    })

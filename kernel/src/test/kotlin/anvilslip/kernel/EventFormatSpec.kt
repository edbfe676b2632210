package anvilslip.kernel

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe

class EventFormatSpec :
    DescribeSpec({
        describe("formatEvent") {
            it("formats an event as one line of key=value pairs") {
                formatEvent("started", listOf("port" to 7100, "zone" to "az1")) shouldBe
                    "event=started port=7100 zone=az1"
            }

            it("omits null values") { formatEvent("e", listOf("a" to null)) shouldBe "event=e" }

            it("escapes characters that could forge another line or field") {
                formatEvent("e", listOf("a" to "x\nevent=forged \"y\"")) shouldBe "event=e a=\"x\\nevent=forged \\\"y\\\"\""
            }
        }
    })

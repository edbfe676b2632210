package anvilslip.policy

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe

class SseEventBufferSpec :
    DescribeSpec({
        fun SseEventBuffer.append(text: String) = append(text.toByteArray()).decodeToString()

        describe("an event stream") {
            it("passes whole events on as they end") {
                val stream = SseEventBuffer()
                stream.append("id: 1\ndata: a\n\nid: 2\nda") shouldBe "id: 1\ndata: a\n\n"
                stream.hasPartialEvent shouldBe true
                stream.append("ta: b\n\n") shouldBe "id: 2\ndata: b\n\n"
                stream.hasPartialEvent shouldBe false
                stream.lastId shouldBe 2
            }

            it("knows blank lines that end in a carriage return and a line feed") {
                SseEventBuffer().append("id: 1\r\ndata: a\r\n\r\n") shouldBe "id: 1\r\ndata: a\r\n\r\n"
            }

            it("drops half an event when it goes on elsewhere, and events that were passed on") {
                val stream = SseEventBuffer()
                stream.append("id: 1\ndata: a\n\nid: 2\ndata: half")
                stream.discardPartialEvent()
                stream.append("id: 1\ndata: a\n\nid: 2\ndata: b\n\n") shouldBe "id: 2\ndata: b\n\n"
            }
        }
    })

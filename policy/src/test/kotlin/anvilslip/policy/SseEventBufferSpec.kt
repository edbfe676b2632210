package anvilslip.policy

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe

class SseEventBufferSpec :
    DescribeSpec({
        fun SseEventBuffer.append(text: String) = append(text.toByteArray()).decodeToString()

        describe("an event buffer") {
            it("forwards each event once it is complete") {
                val buffer = SseEventBuffer()
                buffer.append("id: 1\ndata: a\n\nid: 2\nda") shouldBe "id: 1\ndata: a\n\n"
                buffer.hasPartialEvent shouldBe true
                buffer.append("ta: b\n\n") shouldBe "id: 2\ndata: b\n\n"
                buffer.hasPartialEvent shouldBe false
                buffer.lastId shouldBe 2
            }

            it("accepts CRLF line endings") {
                SseEventBuffer().append("id: 1\r\ndata: a\r\n\r\n") shouldBe "id: 1\r\ndata: a\r\n\r\n"
            }

            it("discards an incomplete event and drops events forwarded before when it is resumed from another server") {
                val buffer = SseEventBuffer()
                buffer.append("id: 1\ndata: a\n\nid: 2\ndata: half")
                buffer.discardPartialEvent()
                buffer.append("id: 1\ndata: a\n\nid: 2\ndata: b\n\n") shouldBe "id: 2\ndata: b\n\n"
            }
        }
    })

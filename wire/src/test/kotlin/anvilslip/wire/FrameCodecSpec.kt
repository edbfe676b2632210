package anvilslip.wire

import anvilslip.kernel.Stamp
import anvilslip.policy.AdapterUse
import anvilslip.policy.AdapterVersion
import anvilslip.policy.InstanceView
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlin.random.Random

class FrameCodecSpec :
    DescribeSpec({
        val use = AdapterUse("e1", AdapterVersion("a", "v"), 1, 2)
        val poll = PeerMessage.Poll(InstanceView("i", "z", "h:1"), "inc", 3, 4, 5, 6, listOf(use))
        val frame = Frame(7, true, Stamp(8, 9), poll)

        describe("a frame") {
            it("is unchanged by encoding and decoding") { FrameCodec.decode(FrameCodec.encode(frame)).getOrNull() shouldBe frame }

            it("never makes the decoder throw when it is truncated or has changed bytes") {
                val bytes = FrameCodec.encode(frame)
                val random = Random(1)
                repeat(20_000) {
                    val copy = bytes.copyOf(random.nextInt(1, bytes.size + 1))
                    repeat(random.nextInt(3)) { copy[random.nextInt(copy.size)] = random.nextInt().toByte() }
                    FrameCodec.decode(copy)
                }
            }
        }
    })

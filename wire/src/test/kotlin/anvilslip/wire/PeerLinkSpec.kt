package anvilslip.wire

import anvilslip.kernel.ManualClock
import anvilslip.kernel.Stamp
import anvilslip.state.Command
import anvilslip.state.ConfigurationDocument
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.awaitCancellation

class PeerLinkSpec :
    DescribeSpec({
        val megabyte = 1024 * 1024

        fun unconnectedLink(options: PeerOptions) =
            PeerLink(
                peer = "b",
                clock = ManualClock(),
                options = options,
                connect = { awaitCancellation() },
                ping = { error("no ping is due") },
                onFrame = {},
                onSent = { _, _ -> },
                onReceived = {},
            )

        fun frame(contentBytes: Int) =
            Frame(0, false, Stamp(0, 0), PeerMessage.Propose(Command.ReplaceDocument(ConfigurationDocument(1, "x".repeat(contentBytes)))))

        describe("a peer that cannot be reached") {
            // Guards against the messages for a peer that is down taking all memory.
            it("has no more bytes queued for it than the limit") {
                val link = unconnectedLink(PeerOptions(queueBytes = 8L * megabyte))
                List(100) { frame(megabyte) }.count(link::send) shouldBeLessThanOrEqual 8
            }

            it("has small messages queued for it besides") {
                val link = unconnectedLink(PeerOptions(queueBytes = 2L * megabyte))
                List(2) { frame(megabyte - 1) }.all(link::send) shouldBe true
                link.send(frame(megabyte)) shouldBe false
                link.send(frame(1)) shouldBe true
            }
        }
    })

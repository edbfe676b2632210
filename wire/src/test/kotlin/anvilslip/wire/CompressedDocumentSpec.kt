package anvilslip.wire

import anvilslip.kernel.Stamp
import anvilslip.state.ConfigurationDocument
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.shouldBe
import kotlin.random.Random

class CompressedDocumentSpec :
    DescribeSpec({
        fun transmitted(compressed: CompressedDocument): CompressedDocument {
            val reply = PeerMessage.WatchReply("x", 0, compressedDocument = compressed)
            val frame = FrameCodec.decode(FrameCodec.encode(Frame(1, true, Stamp(1, 1), reply))).getOrNull()
            return checkNotNull((frame?.message as PeerMessage.WatchReply).compressedDocument)
        }

        describe("a compressed document") {
            it("is the same document after transmission, also with characters outside ASCII") {
                for (text in listOf("", "{\"Name\":\"ä€\uD83D\uDE00\"}", "route ".repeat(100_000))) {
                    val document = ConfigurationDocument(3, text)
                    transmitted(CompressedDocument.of(document)).document shouldBe document
                }
            }

            it("is sent as bytes and not as a list of numbers") {
                val compressed = CompressedDocument.of(ConfigurationDocument(3, Random(1).nextBytes(10_000).joinToString("")))
                val reply = PeerMessage.WatchReply("x", 0, compressedDocument = compressed)
                FrameCodec.encode(Frame(1, true, Stamp(1, 1), reply)).size shouldBeLessThan compressed.sizeBytes + 100
            }
        }

        describe("a compressed document that cannot be read") {
            // Guards against a message of a few kilobytes that takes all memory of the receiver.
            it("is rejected if its text is larger than the limit") {
                val largest = ConfigurationDocument(1, "x".repeat(CompressedDocument.MAX_TEXT_BYTES))
                CompressedDocument.of(largest).document shouldBe largest
                CompressedDocument.of(ConfigurationDocument(1, largest.text + "x")).document.shouldBeNull()
            }

            it("is rejected without an exception if it is truncated, empty or arbitrary") {
                CompressedDocument(1, ByteArray(0)).document.shouldBeNull()
                CompressedDocument(1, byteArrayOf(0x78, 0x9c.toByte(), 1)).document.shouldBeNull()
                CompressedDocument(1, Random(1).nextBytes(1000)).document.shouldBeNull()
            }
        }
    })

package anvilslip.state

import anvilslip.kernel.SystemClock
import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.appendBytes
import kotlin.io.path.listDirectoryEntries
import kotlin.io.path.name
import kotlin.io.path.readBytes
import kotlin.io.path.writeBytes

/** Payloads as a later build may have them. */
@Serializable
private sealed interface LaterPayload {
    @Serializable
    @SerialName("noop")
    data object Noop : LaterPayload

    @Serializable
    @SerialName("added_by_a_later_build")
    data object Added : LaterPayload
}

@Serializable
private data class LaterEntry(
    val index: Long,
    val term: Long,
    val payload: LaterPayload,
)

/** Records as a later build may have them. */
@Serializable
private sealed interface LaterRecord {
    @Serializable
    @SerialName("anvilslip.state.StoredRecord.Entries")
    data class Entries(
        val entries: List<LaterEntry>,
    ) : LaterRecord

    @Serializable
    @SerialName("anvilslip.state.StoredRecord.AddedByALaterBuild")
    data class Added(
        val count: Int,
    ) : LaterRecord
}

/** A snapshot whose voters a later build stores in another form. */
@Serializable
private data class LaterSnapshot(
    val index: Long,
    val term: Long,
    val voters: Map<String, Long>,
)

class UnknownRecordSpec :
    DescribeSpec({
        fun folder(): Path = Files.createTempDirectory("storage").resolve("data")

        fun <T> encode(
            serializer: KSerializer<T>,
            value: T,
        ): ByteArray = RecordCodec.encode(serializer, value).reduce(ByteArray::plus)

        fun logOf(folder: Path) = folder.listDirectoryEntries("log-*").single()

        fun createFolder(): Path =
            folder().also { folder ->
                FileStorage(folder).use {
                    it.recover()
                    it.store(ReplicaOutput(append = listOf(LogEntry(1, 1, Payload.Noop))))
                }
            }

        fun append(record: LaterRecord) = createFolder().also { logOf(it).appendBytes(encode(LaterRecord.serializer(), record)) }

        fun withSnapshot() =
            createFolder().also {
                it.resolve("snapshot").writeBytes(encode(LaterSnapshot.serializer(), LaterSnapshot(1, 1, mapOf("a" to 1L))))
            }

        fun contents(folder: Path) = folder.listDirectoryEntries().associate { it.name to it.readBytes().toList() }

        val folders =
            mapOf(
                "a payload that only a later build knows" to { append(LaterRecord.Entries(listOf(LaterEntry(2, 1, LaterPayload.Added)))) },
                "a record that only a later build knows" to { append(LaterRecord.Added(3)) },
                "a snapshot that only a later build can read" to { withSnapshot() },
            )

        // Guards against the loss of acknowledged changes when a machine goes back to the build before: a folder that is set aside as
        // damaged leaves a replica without its log, and if all machines go back together, no replica has it.
        for ((content, create) in folders) {
            describe("a data folder with $content") {
                it("is neither set aside nor changed") {
                    val folder = create()
                    val before = contents(folder)
                    val failure =
                        shouldThrow<UnknownRecordException> {
                            RecoveringStorage(folder, { _, _ -> error("the folder was set aside") }) {}.use { it.recover() }
                        }
                    failure.message shouldContain "this build cannot read the record"
                    contents(folder) shouldBe before
                }

                it("leaves the instance running without a replica") {
                    val folder = create()
                    val storage = RecoveringStorage(folder, { _, _ -> error("the folder was set aside") }) {}
                    val replica = Replica("a", setOf("a"), storage, { _, _ -> error("nothing may be sent") }, SystemClock)
                    replica.start()
                    replica.propose(Command.ReadBarrier).leftOrNull() shouldBe ProposeError.NotLeader(null)
                    replica.isLeading shouldBe false
                    replica.stop()
                }
            }
        }

        describe("a data folder with entries of a later build that this build knows") {
            it("is read") {
                val folder = append(LaterRecord.Entries(listOf(LaterEntry(2, 1, LaterPayload.Noop))))
                FileStorage(folder).use { it.recover() }.entries.map { it.index } shouldBe listOf(1L, 2L)
            }
        }
    })

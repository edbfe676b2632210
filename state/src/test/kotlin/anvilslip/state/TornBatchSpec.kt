package anvilslip.state

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import java.io.RandomAccessFile
import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.fileSize
import kotlin.io.path.listDirectoryEntries

/**
 * Guards against the loss of everything that a replica has acknowledged, because the last write before a power loss was torn. One write
 * can hold several records, such as the first entries of a term and the vote for it.
 */
class TornBatchSpec :
    DescribeSpec({
        val vote = Vote(1, ReplicaId("a", "x"))

        fun entry(
            index: Long,
            term: Long = 1,
        ) = LogEntry(index, term, Payload.Noop)

        fun folder(): Path = Files.createTempDirectory("storage").resolve("data")

        /** Writes three entries and a vote, then [batch], and returns the length of the log before and after [batch]. */
        fun write(
            folder: Path,
            batch: ReplicaOutput,
        ): Pair<Long, Long> =
            FileStorage(folder).use { storage ->
                storage.recover()
                storage.store(ReplicaOutput(append = listOf(entry(1), entry(2), entry(3)), vote = vote))
                val before = log(folder).fileSize()
                storage.store(batch)
                before to log(folder).fileSize()
            }

        /** Tears [batch] at every length and checks what [RecoveringStorage] recovers with [check]. */
        fun checkTornBatch(
            batch: ReplicaOutput,
            tear: (file: RandomAccessFile, keptLength: Long, fullLength: Long) -> Unit,
            check: (RecoveredData) -> Unit,
        ) {
            val undamaged = folder()
            val (before, after) = write(undamaged, batch)
            for (keptLength in before until after) {
                val torn = folder()
                undamaged.toFile().copyRecursively(torn.toFile())
                RandomAccessFile(log(torn).toFile(), "rw").use { tear(it, keptLength, after) }
                val recovered = RecoveringStorage(torn, { reason, _ -> error("moved away: $reason") }) {}.use { it.recover() }
                check(recovered)
                FileStorage(torn).use { it.recover() } shouldBe recovered
            }
        }

        val tears =
            mapOf<String, (RandomAccessFile, Long, Long) -> Unit>(
                "is cut off" to { file, keptLength, _ -> file.setLength(keptLength) },
                "was extended before its data was written" to { file, keptLength, fullLength ->
                    file.setLength(keptLength)
                    file.setLength(fullLength)
                },
            )

        for ((description, tear) in tears) {
            describe("a log that $description within a batch of several records") {
                it("keeps what was synced before entries and a vote") {
                    val batch = ReplicaOutput(append = listOf(entry(4, 2), entry(5, 2)), vote = Vote(2))
                    checkTornBatch(batch, tear) { recovered ->
                        recovered.entries.take(3) shouldBe listOf(entry(1), entry(2), entry(3))
                        recovered.vote.let { it == vote || it == Vote(2) } shouldBe true
                    }
                }

                it("keeps what was synced before a truncation, entries and a vote, but for what the truncation removes") {
                    val batch = ReplicaOutput(truncateFrom = 3, append = listOf(entry(3, 2), entry(4, 2)), vote = Vote(2))
                    checkTornBatch(batch, tear) { recovered ->
                        recovered.entries.take(2) shouldBe listOf(entry(1), entry(2))
                        recovered.vote.let { it == vote || it == Vote(2) } shouldBe true
                    }
                }
            }
        }
    })

private fun log(folder: Path): Path = folder.listDirectoryEntries("log-*").single()

package anvilslip.state

import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import java.io.RandomAccessFile
import java.lang.management.BufferPoolMXBean
import java.lang.management.ManagementFactory
import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.fileSize
import kotlin.io.path.listDirectoryEntries
import kotlin.io.path.name

class FileStorageSpec :
    DescribeSpec({
        fun folder(): Path = Files.createTempDirectory("storage")

        fun entry(index: Long) = LogEntry(index, 1, Payload.Noop)

        fun writeLog(
            folder: Path,
            count: Long = 3,
        ) {
            FileStorage(folder).use { storage ->
                storage.recover()
                storage.store(ReplicaOutput(vote = Vote(1, ReplicaId("a", "x"))))
                for (index in 1..count) storage.store(ReplicaOutput(append = listOf(entry(index))))
            }
        }

        fun log(folder: Path) = folder.listDirectoryEntries("log-*").single { !it.name.endsWith(".tmp") }

        describe("a data folder") {
            it("returns the stored entries and the vote") {
                val folder = folder()
                writeLog(folder)
                val recovered = FileStorage(folder).recover()
                recovered.entries.map { it.index } shouldBe listOf(1L, 2L, 3L)
                recovered.vote shouldBe Vote(1, ReplicaId("a", "x"))
            }

            it("keeps its identity, which differs from that of other folders") {
                val folder = folder()
                val first = FileStorage(folder).recover().identity
                FileStorage(folder).recover().identity shouldBe first
                (FileStorage(folder()).recover().identity == first) shouldBe false
            }

            it("does not return truncated entries") {
                val folder = folder()
                writeLog(folder)
                FileStorage(folder).use {
                    it.recover()
                    it.store(ReplicaOutput(truncateFrom = 2, append = listOf(LogEntry(2, 2, Payload.Noop))))
                }
                FileStorage(folder).recover().entries.map { it.term } shouldBe listOf(1L, 2L)
            }

            it("returns a snapshot and the entries after it") {
                val folder = folder()
                writeLog(folder)
                val snapshot = Snapshot(2, 1, setOf(ReplicaId("a", "x")), ReplicatedState())
                FileStorage(folder).use {
                    it.recover()
                    it.compact(snapshot, listOf(entry(3)))
                }
                val recovered = FileStorage(folder).recover()
                recovered.snapshot shouldBe snapshot
                recovered.entries shouldBe listOf(entry(3))
                recovered.vote.term shouldBe 1
            }
        }

        /** Tears the last of three records at every length, and checks that the first two are recovered. */
        fun checkTornRecord(tear: (file: RandomAccessFile, keptLength: Long, fullLength: Long) -> Unit) {
            val folder = folder()
            writeLog(folder)
            val fullLength = log(folder).fileSize()
            writeLog(folder.resolve("shorter"), count = 2)
            val startOfRecord = log(folder.resolve("shorter")).fileSize()
            for (keptLength in startOfRecord until fullLength) {
                val torn = folder()
                writeLog(torn)
                RandomAccessFile(log(torn).toFile(), "rw").use { tear(it, keptLength, fullLength) }
                FileStorage(torn).recover().entries.map { it.index } shouldBe listOf(1L, 2L)
            }
        }

        describe("a torn last record") {
            it("is truncated at every length") {
                checkTornRecord { file, keptLength, _ -> file.setLength(keptLength) }
            }
        }

        describe("a last record for which the file was extended before its data was written") {
            it("is truncated wherever its data ends") {
                checkTornRecord { file, keptLength, fullLength ->
                    file.setLength(keptLength)
                    file.setLength(fullLength)
                }
            }
        }

        describe("files that are larger than the direct memory of the process") {
            val megabyte = 1024 * 1024
            val documents = (1..40L).map { ConfigurationDocument(it, "$it".padEnd(megabyte, 'x')) }

            fun directBytes() =
                ManagementFactory.getPlatformMXBeans(BufferPoolMXBean::class.java).single { it.name == "direct" }.totalCapacity

            fun replace(
                index: Long,
                document: ConfigurationDocument,
            ) = LogEntry(index, 1, Payload.Apply(Command.ReplaceDocument(document), index))

            // Guards against control instances that cannot start again, since reading their log takes more direct memory than there is.
            it("are written and read with little direct memory") {
                val folder = folder()
                val before = directBytes()
                val entries = documents.map { replace(it.version, it) }
                FileStorage(folder).use { storage ->
                    storage.recover()
                    entries.chunked(8).forEach { storage.store(ReplicaOutput(append = it)) }
                }
                val recovered = FileStorage(folder).use { it.recover() }
                (directBytes() - before) shouldBeLessThan 8L * megabyte
                recovered.entries shouldBe entries
            }

            it("are compacted with little direct memory") {
                val folder = folder()
                val before = directBytes()
                val snapshot = Snapshot(1, 1, setOf(ReplicaId("a", "x")), ReplicatedState(document = documents.first()))
                val tail = documents.drop(1).map { replace(it.version, it) }
                FileStorage(folder).use { storage ->
                    storage.recover()
                    storage.compact(snapshot, tail)
                }
                (directBytes() - before) shouldBeLessThan 8L * megabyte
                FileStorage(folder).use { it.recover() }.entries shouldBe tail
            }
        }

        describe("a batch that takes several writes") {
            // Guards against entries that are stored although ones before them are missing: writes that were not synced may survive singly.
            it("is synced after each of them") {
                var syncs = 0
                FileStorage(folder(), onSync = { syncs++ }).use { storage ->
                    storage.recover()
                    storage.store(ReplicaOutput(append = listOf(entry(1))))
                    syncs shouldBe 1
                    val document = ConfigurationDocument(1, "x".repeat(3_000_000))
                    storage.store(ReplicaOutput(append = listOf(LogEntry(2, 1, Payload.Apply(Command.ReplaceDocument(document), 0)))))
                    syncs shouldBe 4
                }
            }
        }

        describe("a flipped bit anywhere") {
            it("is reported as damage") {
                val undamaged = folder()
                writeLog(undamaged)
                val expected = FileStorage(undamaged).recover()
                for (position in 0 until log(undamaged).fileSize()) {
                    val damaged = folder()
                    writeLog(damaged)
                    RandomAccessFile(log(damaged).toFile(), "rw").use { file ->
                        file.seek(position)
                        val byte = file.read()
                        file.seek(position)
                        file.write(byte xor 0x10)
                    }
                    val failure =
                        shouldThrow<StorageException> { FileStorage(damaged).recover().also { check(it.entries == expected.entries) } }
                    failure.message shouldContain "damaged"
                }
            }
        }
    })

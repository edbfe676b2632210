package anvilslip.state

import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import java.io.RandomAccessFile
import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.fileSize
import kotlin.io.path.listDirectoryEntries
import kotlin.io.path.name

class FileStorageSpec :
    DescribeSpec({
        fun folder(): Path = Files.createTempDirectory("storage")

        fun entry(index: Long) = LogEntry(index, 1, Payload.Noop)

        fun stored(
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
            it("gives back what was stored") {
                val folder = folder()
                stored(folder)
                val recovered = FileStorage(folder).recover()
                recovered.entries.map { it.index } shouldBe listOf(1L, 2L, 3L)
                recovered.vote shouldBe Vote(1, ReplicaId("a", "x"))
            }

            it("keeps its identity, and a new one has another") {
                val folder = folder()
                val first = FileStorage(folder).recover().identity
                FileStorage(folder).recover().identity shouldBe first
                (FileStorage(folder()).recover().identity == first) shouldBe false
            }

            it("forgets truncated entries") {
                val folder = folder()
                stored(folder)
                FileStorage(folder).use {
                    it.recover()
                    it.store(ReplicaOutput(truncateFrom = 2, append = listOf(LogEntry(2, 2, Payload.Noop))))
                }
                FileStorage(folder).recover().entries.map { it.term } shouldBe listOf(1L, 2L)
            }

            it("gives back a snapshot and the entries after it") {
                val folder = folder()
                stored(folder)
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

        /** Tears the last of three records at every length, and expects the first two to be given back. */
        fun tearing(tear: (file: RandomAccessFile, written: Long, whole: Long) -> Unit) {
            val folder = folder()
            stored(folder)
            val whole = log(folder).fileSize()
            stored(folder.resolve("shorter"), count = 2)
            val before = log(folder.resolve("shorter")).fileSize()
            for (written in before until whole) {
                val torn = folder()
                stored(torn)
                RandomAccessFile(log(torn).toFile(), "rw").use { tear(it, written, whole) }
                FileStorage(torn).recover().entries.map { it.index } shouldBe listOf(1L, 2L)
            }
        }

        describe("a torn last record") {
            it("is cut off at every length") {
                tearing { file, written, _ -> file.setLength(written) }
            }
        }

        describe("a last record whose length reached the disk before its end") {
            it("is cut off wherever its data ends") {
                tearing { file, written, whole ->
                    file.setLength(written)
                    file.setLength(whole)
                }
            }
        }

        describe("a flipped bit anywhere") {
            it("is noticed, never read as something else") {
                val pristine = folder()
                stored(pristine)
                val expected = FileStorage(pristine).recover()
                for (position in 0 until log(pristine).fileSize()) {
                    val damaged = folder()
                    stored(damaged)
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

package anvilslip.state

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.copyTo
import kotlin.io.path.listDirectoryEntries
import kotlin.io.path.name

/** Guards against names that a power loss after a crash of the process brings back or removes, because their folder was not synced. */
class FolderSyncSpec :
    DescribeSpec({
        val snapshot = Snapshot(2, 1, setOf(ReplicaId("a", "x")), ReplicatedState())
        val entries = (1L..3L).map { LogEntry(it, 1, Payload.Noop) }

        /** Records the changes of names that no sync of their folder has followed yet. */
        class RecordingOperations : FolderOperations {
            val deletedBeforeSync = mutableListOf<String>()
            private var isSynced = false

            override fun move(
                from: Path,
                to: Path,
            ) {
                isSynced = false
                LocalFolderOperations.move(from, to)
            }

            override fun delete(path: Path) {
                if (!isSynced) deletedBeforeSync += path.name
                LocalFolderOperations.delete(path)
            }

            override fun sync(folder: Path) {
                isSynced = true
                LocalFolderOperations.sync(folder)
            }
        }

        /** A folder as a process leaves it that ends in a compaction, after the new log got its name: both logs are there. */
        fun interruptedCompaction(): Path {
            val folder = Files.createTempDirectory("storage")
            val before = Files.createTempDirectory("before")
            FileStorage(folder).use { storage ->
                storage.recover()
                storage.store(ReplicaOutput(append = entries))
                folder.listDirectoryEntries("log-*").single().copyTo(before.resolve("log-0"))
                storage.compact(snapshot, entries.drop(2))
            }
            before.resolve("log-0").copyTo(folder.resolve("log-0"))
            return folder
        }

        describe("a compaction that ended between the rename of the new log and the sync of the folder") {
            // If the power fails next, the removal of the old log may be kept and the name of the new one be lost, so that no log is left.
            it("is made durable before the old log is removed") {
                val folder = interruptedCompaction()
                val operations = RecordingOperations()
                FileStorage(folder, {}, operations).use { it.recover() }.entries shouldBe entries.drop(2)
                operations.deletedBeforeSync shouldBe emptyList()
                folder.listDirectoryEntries("log-*").map { it.name } shouldBe listOf("log-1")
            }
        }

        describe("a compaction") {
            it("is made durable before the old log is removed") {
                val operations = RecordingOperations()
                FileStorage(Files.createTempDirectory("storage"), {}, operations).use { storage ->
                    storage.recover()
                    storage.store(ReplicaOutput(append = entries))
                    storage.compact(snapshot, entries.drop(2))
                }
                operations.deletedBeforeSync shouldBe emptyList()
            }
        }
    })

package anvilslip.state

import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.isRegularFile
import kotlin.io.path.listDirectoryEntries
import kotlin.io.path.name

/**
 * [FileStorage] that sets the files of a damaged data folder aside, in a folder within it, and starts with an empty one. The replica then
 * rejoins under a new identity, since under the old one it could break votes or acknowledgements that it no longer remembers.
 *
 * Nothing outside the data folder is written, since the process may have no right to do so.
 *
 * @param onDamage called with the reason and the path to which the damaged files were moved
 */
public class RecoveringStorage(
    private val folder: Path,
    private val onDamage: (reason: String?, movedTo: Path) -> Unit,
    private val onSync: () -> Unit,
) : Storage {
    private var storage = FileStorage(folder, onSync)

    override fun recover(): RecoveredData =
        try {
            storage.recover()
        } catch (e: StorageException) {
            // An I/O error, such as a full disk, does not mean that the stored data is damaged; the build that wrote a record can read it.
            if (e.cause is IOException || e is UnknownRecordException) throw e
            moveDamagedFiles(e)
            storage = FileStorage(folder, onSync)
            storage.recover()
        }

    override fun store(output: ReplicaOutput): Unit = storage.store(output)

    override fun compact(
        snapshot: Snapshot,
        tail: List<LogEntry>,
    ): Unit = storage.compact(snapshot, tail)

    override fun close(): Unit = storage.close()

    private fun moveDamagedFiles(reason: StorageException) {
        storage.close()
        val target = folder.resolve("damaged-${System.nanoTime()}")
        Files.createDirectory(target)
        // The identity goes first: what remains after a crash in between must not be used under it.
        moveFiles(target) { it.name == FileStorage.IDENTITY_FILE }
        moveFiles(target) { true }
        onDamage(reason.message, target)
    }

    private fun moveFiles(
        target: Path,
        isMoved: (Path) -> Boolean,
    ) {
        val files = folder.listDirectoryEntries().filter { it.isRegularFile() && isMoved(it) }
        for (file in files) LocalFolderOperations.move(file, target.resolve(file.name))
        LocalFolderOperations.sync(target)
        LocalFolderOperations.sync(folder)
    }
}

package anvilslip.state

import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path

/**
 * [FileStorage] that renames a damaged data folder and starts with an empty one. The replica then rejoins under a new identity,
 * since under the old one it could break votes or acknowledgements that it no longer remembers.
 *
 * @param onDamage called with the reason and the path to which the damaged folder was moved
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
            // An I/O error, such as a full disk, does not mean that the stored data is damaged.
            if (e.cause is IOException) throw e
            moveDamagedFolder(e)
            storage = FileStorage(folder, onSync)
            storage.recover()
        }

    override fun store(output: ReplicaOutput): Unit = storage.store(output)

    override fun compact(
        snapshot: Snapshot,
        tail: List<LogEntry>,
    ): Unit = storage.compact(snapshot, tail)

    override fun close(): Unit = storage.close()

    private fun moveDamagedFolder(reason: StorageException) {
        storage.close()
        val target = folder.resolveSibling("${folder.fileName}.damaged-${System.nanoTime()}")
        Files.move(folder, target)
        onDamage(reason.message, target)
    }
}

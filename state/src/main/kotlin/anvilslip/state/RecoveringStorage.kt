package anvilslip.state

import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path

/**
 * Storage that sets a damaged folder aside, so that the replica comes back as a new member and never under its old identity.
 *
 * @param onDamage called with the reason and the place where the damaged files are kept
 */
public class RecoveringStorage(
    private val folder: Path,
    private val onDamage: (reason: String?, keptIn: Path) -> Unit,
    private val onSync: () -> Unit,
) : Storage {
    private var storage = FileStorage(folder, onSync)

    override fun recover(): RecoveredData =
        try {
            storage.recover()
        } catch (e: StorageException) {
            // A disk that fails or is full says nothing about what it holds.
            if (e.cause is IOException) throw e
            setAside(e)
            storage = FileStorage(folder, onSync)
            storage.recover()
        }

    override fun store(output: ReplicaOutput): Unit = storage.store(output)

    override fun compact(
        snapshot: Snapshot,
        tail: List<LogEntry>,
    ): Unit = storage.compact(snapshot, tail)

    override fun close(): Unit = storage.close()

    private fun setAside(reason: StorageException) {
        storage.close()
        val aside = folder.resolveSibling("${folder.fileName}.damaged-${System.nanoTime()}")
        Files.move(folder, aside)
        onDamage(reason.message, aside)
    }
}

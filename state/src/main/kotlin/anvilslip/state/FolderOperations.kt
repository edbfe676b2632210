package anvilslip.state

import java.nio.channels.FileChannel
import java.nio.file.Files
import java.nio.file.Path
import java.nio.file.StandardCopyOption
import java.nio.file.StandardOpenOption

/** Changes of the names in a folder. After a power loss each of them is kept or lost on its own until the folder is synced. */
internal interface FolderOperations {
    /** Renames [from] to [to], which is replaced if it exists. */
    fun move(
        from: Path,
        to: Path,
    )

    /** Removes the file at [path] if it exists. */
    fun delete(path: Path)

    /** Makes all changes of names in [folder] durable. */
    fun sync(folder: Path)
}

/** [FolderOperations] on the local file system. */
internal object LocalFolderOperations : FolderOperations {
    override fun move(
        from: Path,
        to: Path,
    ) {
        Files.move(from, to, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING)
    }

    override fun delete(path: Path) {
        Files.deleteIfExists(path)
    }

    override fun sync(folder: Path) = FileChannel.open(folder, StandardOpenOption.READ).use { it.force(true) }
}

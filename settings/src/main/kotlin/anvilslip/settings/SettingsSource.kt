package anvilslip.settings

import anvilslip.kernel.Finding
import anvilslip.kernel.Findings
import anvilslip.kernel.Place
import arrow.core.Either
import arrow.core.left
import arrow.core.right
import java.io.IOException
import java.nio.file.Path
import kotlin.io.path.readText

/** Parses settings from a file or a string and passes the root object to a reader. Problems are added to [findings]. */
internal class SettingsSource(
    private val findings: Findings,
) {
    /** Reads [file] and returns the settings that [build] creates; relative paths are resolved against the folder of [file]. */
    fun <T : Any> read(
        file: Path,
        build: (root: ObjectReader, folder: Path) -> T?,
    ): Either<List<Finding>, T> {
        val text =
            try {
                file.readText()
            } catch (e: IOException) {
                findings.add(Place(file.toString()), "cannot be read: ${e.message}")
                return findings.all.left()
            }
        return read(text, file.toString(), file.toAbsolutePath().parent, build)
    }

    /** Parses [text] and returns the settings that [build] creates, or all findings; [source] names the text in findings. */
    fun <T : Any> read(
        text: String,
        source: String,
        folder: Path,
        build: (root: ObjectReader, folder: Path) -> T?,
    ): Either<List<Finding>, T> {
        val root = LocatedParser(source, findings).parse(text)
        if (root != null && root !is LocatedValue.Object) findings.add(root.place, "expected an object")
        val settings = (root as? LocatedValue.Object)?.let { build(ObjectReader(it, findings), folder) }
        return if (settings != null && findings.all.isEmpty()) settings.right() else findings.all.left()
    }
}

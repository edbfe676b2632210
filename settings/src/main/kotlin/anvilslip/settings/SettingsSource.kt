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

/** Reads a settings text or file and hands its root to a reader; what is wrong is gathered in [findings]. */
internal class SettingsSource(
    private val findings: Findings,
) {
    /** The settings that [build] makes of [file], with the folder that relative paths belong to. */
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

    /** The settings that [build] makes of [text], which came from [source]. */
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

package anvilslip.daemon

import anvilslip.kernel.Logs
import anvilslip.settings.Settings
import anvilslip.settings.SettingsReader
import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.default
import kotlinx.cli.required
import kotlinx.coroutines.runBlocking
import kotlin.io.path.Path
import kotlin.system.exitProcess

private const val EXIT_SETTINGS = 2
private const val EXIT_START = 3

/** Starts one instance, or checks its settings. Exit code 2 on bad settings, 3 when it cannot start. */
public fun main(args: Array<String>) {
    val parser = ArgParser("anvilslipd")
    val file by parser.option(ArgType.String, "settings", "s", "File with the settings: JSON with comments").required()
    val checkOnly by parser.option(ArgType.Boolean, "check-settings", description = "Check the settings and exit").default(false)
    parser.parse(args)
    val settings = readSettings(file)
    if (checkOnly) println("settings of '${settings.instance}' are good") else run(settings)
}

private fun readSettings(file: String): Settings =
    SettingsReader().read(Path(file)).fold(
        { findings ->
            findings.forEach { System.err.println(it) }
            exitProcess(EXIT_SETTINGS)
        },
        { it },
    )

private fun run(settings: Settings) {
    val instance = Instance(settings)
    try {
        runBlocking { instance.start() }
    } catch (e: Exception) {
        System.err.println("anvilslipd cannot start: ${e.message}")
        Logs.close()
        exitProcess(EXIT_START)
    }
    Runtime.getRuntime().addShutdownHook(
        Thread {
            runBlocking {
                instance.drain()
                instance.stop()
            }
            Logs.close()
        },
    )
    Thread.currentThread().join()
}

package anvilslip.daemon

import anvilslip.kernel.FatalErrorHandler
import anvilslip.kernel.Logs
import anvilslip.kernel.SystemClock
import anvilslip.settings.Settings
import anvilslip.settings.SettingsReader
import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.default
import kotlinx.cli.required
import kotlinx.coroutines.runBlocking
import kotlin.io.path.Path
import kotlin.system.exitProcess
import kotlin.time.Duration

private const val EXIT_INVALID_SETTINGS = 2

/** Not 3, which is the status of a virtual machine that ended because its heap was full. */
private const val EXIT_START_FAILED = 4

/** Starts an instance or validates its settings. Exits with 2 if the settings are invalid and with 4 if the instance fails to start. */
public fun main(args: Array<String>) {
    val startedAt = SystemClock.elapsed()
    val parser = ArgParser("anvilslipd")
    val settingsFile by parser.option(ArgType.String, "settings", "s", "Settings file, in JSON with comments").required()
    val validateOnly by parser.option(ArgType.Boolean, "check-settings", description = "Validate the settings and exit").default(false)
    parser.parse(args)
    val settings = readSettings(settingsFile)
    if (validateOnly) println("settings of '${settings.instance}' are valid") else runInstance(settings, startedAt)
}

private fun readSettings(file: String): Settings =
    SettingsReader().read(Path(file)).fold(
        { findings ->
            findings.forEach { System.err.println(it) }
            exitProcess(EXIT_INVALID_SETTINGS)
        },
        { it },
    )

private fun runInstance(
    settings: Settings,
    startedAt: Duration,
) {
    Thread.setDefaultUncaughtExceptionHandler(FatalErrorHandler())
    val instance = Instance(settings, SystemClock, startedAt)
    try {
        runBlocking { instance.start() }
    } catch (e: Throwable) {
        System.err.println("anvilslipd failed to start: ${e.message}")
        Logs.close()
        exitProcess(EXIT_START_FAILED)
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

package anvilslip.kernel

/**
 * True if the process cannot be relied upon after this error, such as an [OutOfMemoryError]: any thread may have failed to complete what
 * it had begun. An input that is nested too deeply affects only its own thread. A [PartFailedError] is fatal as well.
 */
public val Throwable.isFatal: Boolean get() = this is PartFailedError || (this is VirtualMachineError && this !is StackOverflowError)

/**
 * Logs exceptions that no thread or coroutine handles, and ends the process after a fatal error, so that it is started again instead of
 * running on without the part that failed.
 *
 * @param exit ends the process with the given status, without running shutdown hooks
 */
public class FatalErrorHandler(
    private val exit: (status: Int) -> Unit = ::exitWithoutHooks,
) : Thread.UncaughtExceptionHandler {
    private val log = EventLogger("main")

    override fun uncaughtException(
        thread: Thread,
        error: Throwable,
    ) {
        try {
            log.error("uncaught_error", "thread" to thread.name, "error" to error, "fatal" to error.isFatal)
        } finally {
            if (error.isFatal) exit(EXIT_FATAL_ERROR)
        }
    }

    public companion object {
        /** Exit status after a fatal error. */
        public const val EXIT_FATAL_ERROR: Int = 70

        private fun exitWithoutHooks(status: Int) {
            Logs.close()
            Runtime.getRuntime().halt(status)
        }
    }
}

package anvilslip.kernel

/** A part that the process needs has failed [failures] times without progress in between. Fatal: the process must be started again. */
public class PartFailedError(
    part: String,
    failures: Int,
    cause: Throwable,
) : Error("part '$part' failed $failures times without progress, last with $cause", cause)

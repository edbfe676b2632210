package anvilslip.state

/** Position of the last entry of a log. Of two logs, the one with the greater position is more up to date. */
internal data class LogPosition(
    val term: Long,
    val index: Long,
) : Comparable<LogPosition> {
    override fun compareTo(other: LogPosition): Int = compareValuesBy(this, other, LogPosition::term, LogPosition::index)
}

package anvilslip.state

/**
 * Answer to [Replica.read].
 *
 * @property state the replicated state, which includes at least every command up to [index]
 * @property index log index of the entry that confirmed the read
 * @property term term of that entry
 */
public data class ConfirmedRead(
    val state: ReplicatedState,
    val index: Long,
    val term: Long,
)

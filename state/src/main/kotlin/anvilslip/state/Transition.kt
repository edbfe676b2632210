package anvilslip.state

/** Result of applying a command: the new state and the outcome. */
public data class Transition(
    val state: ReplicatedState,
    val outcome: Outcome,
)

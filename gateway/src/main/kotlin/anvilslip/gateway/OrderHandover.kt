package anvilslip.gateway

import anvilslip.state.ReplicaView
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * When a new leader may give its first order. Two leaders must not give orders in turn, so it waits [pause] after its election
 * if the leader before is up and may still believe that it leads. Where servers check fencing numbers, a leader that does not
 * answer in the new term cannot do harm: its number is lower, and it hears of the new term before it can be elected again.
 */
public class OrderHandover(
    private val pause: Duration,
    private val fencingChecked: Boolean,
) {
    /**
     * True once orders may be given.
     *
     * @param previousLeader host of the leader before; null when none is known
     * @param sinceElection time that has passed since the election
     */
    public fun isComplete(
        view: ReplicaView,
        previousLeader: String?,
        sinceElection: Duration,
    ): Boolean {
        if (sinceElection >= pause || previousLeader == view.id.instance) return true
        if (!fencingChecked || sinceElection < GREETING) return false
        return view.followers.none { it.instance == previousLeader }
    }

    private companion object {
        /** A leader before that is up acknowledges the new one within a few heartbeats. */
        val GREETING = 350.milliseconds
    }
}

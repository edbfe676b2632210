package anvilslip.gateway

import anvilslip.state.ReplicaView
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Determines when a new leader may send its first order to the engines. Orders of two leaders must not interleave, so the new
 * leader waits for [pause] after its election if the previous one is up and may still believe that it leads. If servers check
 * fencing tokens, a previous leader that does not answer in the new term is harmless: its token is lower, and it learns of the
 * new term before it can be elected again.
 */
public class OrderHandover(
    private val pause: Duration,
    private val fencingChecked: Boolean,
) {
    /**
     * Returns true once orders may be sent.
     *
     * @param previousLeader host of the previous leader; null if none is known
     * @param sinceElection time since the election of this leader
     */
    public fun isComplete(
        view: ReplicaView,
        previousLeader: String?,
        sinceElection: Duration,
    ): Boolean {
        if (sinceElection >= pause || previousLeader == view.id.instance) return true
        if (!fencingChecked || sinceElection < ACKNOWLEDGEMENT_TIME) return false
        return view.followers.none { it.instance == previousLeader }
    }

    private companion object {
        /** A previous leader that is up acknowledges the new one within this time, which is a few heartbeats. */
        val ACKNOWLEDGEMENT_TIME = 350.milliseconds
    }
}

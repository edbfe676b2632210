package anvilslip.state

import anvilslip.kernel.EventLogger

/** Logs what happens in elections. A refusal that is repeated, as for a replica that keeps asking, is logged once. */
internal class ElectionLog(
    private val log: EventLogger,
) {
    private var lastRefusal: ElectionEvent.VoteRefused? = null

    fun record(event: ElectionEvent) =
        when (event) {
            is ElectionEvent.PreVoteStarted -> log.info("pre_vote_started", "term" to event.term)
            is ElectionEvent.ElectionStarted -> log.info("election_started", "term" to event.term)
            is ElectionEvent.VoteRefused -> recordRefusal(event)
        }

    private fun recordRefusal(refusal: ElectionEvent.VoteRefused) {
        if (refusal == lastRefusal) return
        lastRefusal = refusal
        log.info(
            "vote_refused",
            "candidate" to refusal.candidate,
            "term" to refusal.term,
            "pre_vote" to refusal.preVote,
            "reason" to refusal.reason.name.lowercase(),
        )
    }
}

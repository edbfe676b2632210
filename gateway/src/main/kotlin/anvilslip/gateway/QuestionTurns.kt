package anvilslip.gateway

import anvilslip.policy.QuestionWindow
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Duration

/** Lets questions to the leader pass in the order in which they come, as many at a time as a [QuestionWindow] allows. Thread-safe. */
internal class QuestionTurns {
    private val window = QuestionWindow()
    private val waiting = ArrayDeque<CompletableDeferred<Unit>>()
    private var unanswered = 0

    /** Waits for a turn, for up to [timeout]. Returns false if there was none; otherwise [end] must be called. */
    suspend fun await(timeout: Duration): Boolean {
        val turn = enter() ?: return true
        var hasTurn = false
        try {
            hasTurn = withTimeoutOrNull(timeout) { turn.await() } != null
            return hasTurn
        } finally {
            if (!hasTurn) leave(turn)
        }
    }

    /** Records that the question of a turn was answered at [now], after [time], or is no longer waited for; [time] is null if it was cancelled. */
    @Synchronized
    fun end(
        time: Duration?,
        now: Duration,
    ) {
        unanswered--
        time?.let { window.recordAnswer(it, now) }
        grantTurns()
    }

    /** Returns null if a question may be asked at once, or what completes with its turn. */
    @Synchronized
    private fun enter(): CompletableDeferred<Unit>? {
        if (waiting.isEmpty() && unanswered < window.size) {
            unanswered++
            return null
        }
        return CompletableDeferred<Unit>().also { waiting += it }
    }

    /** Gives up the wait for [turn], which may have come meanwhile. */
    @Synchronized
    private fun leave(turn: CompletableDeferred<Unit>) {
        if (!waiting.remove(turn)) unanswered--
        grantTurns()
    }

    private fun grantTurns() {
        while (unanswered < window.size) {
            val turn = waiting.removeFirstOrNull() ?: return
            unanswered++
            turn.complete(Unit)
        }
    }
}

package anvilslip.entry.http

import java.util.concurrent.atomic.AtomicReference

/**
 * Decides once whether a request is sent or its sender gives up before a byte of it is, so that the sender knows which of them happened
 * although the request is written on another thread. Thread-safe.
 */
public class SendGate {
    private enum class State { OPEN, SENDING, CLOSED }

    private val state = AtomicReference(State.OPEN)

    /** Called before the first byte is written. Returns false if the sender has given up and nothing may be written. */
    internal fun trySend(): Boolean = state.compareAndSet(State.OPEN, State.SENDING) || state.get() == State.SENDING

    /** Gives up. Returns true if no byte of the request has been or will be written. */
    public fun tryClose(): Boolean = state.compareAndSet(State.OPEN, State.CLOSED) || state.get() == State.CLOSED
}

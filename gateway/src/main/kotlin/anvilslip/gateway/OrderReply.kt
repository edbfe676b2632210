package anvilslip.gateway

/** An engine's reply to an order. */
public enum class OrderReply {
    /** The order was accepted and is being executed. */
    TAKEN,

    /** The engine is already in the ordered state. */
    HOLDS,

    /** Another order is in progress, or the engine has accepted others in the meantime. */
    CONFLICT,

    /** A leader with a higher fencing token has sent orders. */
    FENCED,

    /** The order was rejected for another reason, or not sent because this instance no longer leads. */
    REFUSED,

    /** There was no reply; the order may still be executed. */
    UNANSWERED,
}

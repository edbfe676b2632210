package anvilslip.gateway

/** How a backend server answered an order. */
public enum class OrderReply {
    /** It is being carried out. */
    TAKEN,

    /** What was ordered holds already. */
    HOLDS,

    /** Another order is under way, or the server has taken others meanwhile. */
    CONFLICT,

    /** Another leader with a higher fencing number has given orders. */
    FENCED,

    /** The server refused it for another reason. */
    REFUSED,

    /** There was no answer; the order may be carried out yet. */
    UNANSWERED,
}

package anvilslip.policy

/**
 * Number that accompanies an order to an engine. An engine rejects an order whose token is lower than one that it has seen.
 *
 * Layout: the term in the upper 32 bits, then 8 bits of generation, then 24 bits that identify the holder: 0 for a leader, the low 24
 * bits of its IPv4 address for a load delegate. Tokens of a later term are therefore higher than all tokens of an earlier one, and two
 * holders of one term never share a token.
 */
@JvmInline
public value class FencingToken(
    public val value: Long,
) : Comparable<FencingToken> {
    override fun compareTo(other: FencingToken): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()

    public companion object {
        /** Highest generation that fits the layout. */
        public const val MAX_GENERATION: Int = 255
        private const val TERM_SHIFT = 32
        private const val GENERATION_SHIFT = 24
        private const val HOLDER_MASK = (1 shl GENERATION_SHIFT) - 1

        /** IPv4 address in dotted form without leading zeros, which some parsers read as octal. */
        private val IPV4 = Regex("(0|[1-9][0-9]{0,2})(\\.(0|[1-9][0-9]{0,2})){3}")
        private const val MAX_OCTET = 255

        /** The token of the leader of [term] in its [generation]. */
        public fun ofLeader(
            term: Long,
            generation: Int = 0,
        ): FencingToken = of(term, generation, 0)

        /** The token of the load delegate with [holderBits], which knows no later term than [term]. */
        public fun ofDelegate(
            term: Long,
            generation: Int,
            holderBits: Int,
        ): FencingToken {
            require(holderBits in 1..HOLDER_MASK) { "holder bits out of range: $holderBits" }
            return of(term, generation, holderBits)
        }

        /** The low 24 bits of the IPv4 address [host]; null if it is none in dotted form or these bits are zero. */
        public fun holderBits(host: String): Int? {
            if (!IPV4.matches(host)) return null
            val octets = host.split('.').map { it.toInt() }
            if (octets.any { it > MAX_OCTET }) return null
            return octets.drop(1).fold(0) { bits, octet -> (bits shl Byte.SIZE_BITS) or octet }.takeIf { it != 0 }
        }

        private fun of(
            term: Long,
            generation: Int,
            holderBits: Int,
        ): FencingToken {
            require(term in 0..Int.MAX_VALUE) { "term out of range: $term" }
            require(generation in 0..MAX_GENERATION) { "generation out of range: $generation" }
            return FencingToken((term shl TERM_SHIFT) or (generation.toLong() shl GENERATION_SHIFT) or holderBits.toLong())
        }
    }
}

package anvilslip.wire

import java.security.MessageDigest
import javax.crypto.Mac
import javax.crypto.spec.SecretKeySpec

/**
 * Mutual authentication of two instances by an HMAC under the shared secret. A proof covers the names of both ends and a fresh nonce
 * from each, so it cannot be replayed on another connection.
 */
internal class Handshake(
    private val secret: ByteArray,
) {
    /** Computes the proof that [prover] sends to [verifier]. */
    fun proof(
        prover: String,
        verifier: String,
        proverNonce: ByteArray,
        verifierNonce: ByteArray,
    ): ByteArray {
        val mac = Mac.getInstance(ALGORITHM)
        mac.init(SecretKeySpec(secret, ALGORITHM))
        for (part in listOf(prover.toByteArray(), verifier.toByteArray(), proverNonce, verifierNonce)) {
            mac.update(byteArrayOf((part.size shr Byte.SIZE_BITS).toByte(), part.size.toByte()))
            mac.update(part)
        }
        return mac.doFinal()
    }

    /** Compares two proofs in constant time. */
    fun matches(
        expected: ByteArray,
        actual: ByteArray,
    ): Boolean = MessageDigest.isEqual(expected, actual)

    companion object {
        const val NONCE_BYTES = 32
        const val PROOF_BYTES = 32

        /** Version of the peer protocol. */
        const val VERSION = 1
        private const val ALGORITHM = "HmacSHA256"
    }
}

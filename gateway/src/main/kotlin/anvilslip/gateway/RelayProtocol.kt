package anvilslip.gateway

import java.security.MessageDigest
import javax.crypto.Mac
import javax.crypto.spec.SecretKeySpec

/** Headers of requests that one entry instance passes on for another one, and of the answers. */
internal object RelayProtocol {
    /** What the names of these headers begin with. */
    const val PREFIX = "anvilslip-relay-"

    /** Address of the backend server that the request is for. */
    const val SERVER = "${PREFIX}server"

    /** Proof that the sender knows the secret of the instances. */
    const val TOKEN = "${PREFIX}token"

    /** Name of the header by which the answer is recognised; absent if it is not. */
    const val CORRELATION = "${PREFIX}correlation"

    /** Present if the request needs a connection of its own. */
    const val FRESH = "${PREFIX}fresh"

    /** In an answer: reason why no byte of the request was sent to the server. */
    const val NOT_SENT = "${PREFIX}not-sent"

    /** Headers that concern one connection, and the Host, which the sender sets. */
    val HOP_HEADERS =
        setOf("connection", "keep-alive", "transfer-encoding", "content-length", "host", "upgrade", "te", "trailer", "proxy-connection")

    /** Returns the [TOKEN] for [secret]. */
    fun token(secret: ByteArray): String {
        val mac = Mac.getInstance(ALGORITHM).apply { init(SecretKeySpec(secret, ALGORITHM)) }
        return mac.doFinal(PURPOSE).joinToString("") { "%02x".format(it) }
    }

    /** True if [token] is [expected]; takes as long whatever their difference is. */
    fun isValid(
        token: String?,
        expected: String,
    ): Boolean = token != null && MessageDigest.isEqual(token.toByteArray(), expected.toByteArray())

    private const val ALGORITHM = "HmacSHA256"
    private val PURPOSE = "relay".toByteArray()
}

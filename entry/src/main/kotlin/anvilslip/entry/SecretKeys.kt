package anvilslip.entry

import java.security.MessageDigest
import java.security.SecureRandom
import java.util.Base64
import java.util.HexFormat

/** Generates and hashes API keys, which are random secrets. Only their hashes are stored. */
public object SecretKeys {
    /** Prefix of every key, by which leaked keys can be recognized. */
    public const val PREFIX: String = "ask_"

    /** Number of characters after [PREFIX]. */
    public const val SECRET_CHARACTERS: Int = 43
    private const val SECRET_BYTES = 32
    private val random = SecureRandom()

    /** Generates a new key. */
    public fun generate(): String {
        val bytes = ByteArray(SECRET_BYTES).also(random::nextBytes)
        return PREFIX + Base64.getUrlEncoder().withoutPadding().encodeToString(bytes)
    }

    /** Returns the hash under which [key] is stored: SHA-256 in hexadecimal. */
    public fun hash(key: String): String = sha256(key.toByteArray())
}

/** Returns the SHA-256 hash of [bytes] in hexadecimal. */
internal fun sha256(bytes: ByteArray): String = HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes))

package anvilslip.entry.http

import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpRequestDecoder

/**
 * Decodes requests. Rejects a request with both Content-Length and chunked encoding, since proxies disagree on where it ends
 * (request smuggling).
 */
internal class StrictRequestDecoder(
    config: HttpDecoderConfig,
) : HttpRequestDecoder(config) {
    override fun handleTransferEncodingChunkedWithContentLength(message: HttpMessage): Unit =
        throw IllegalArgumentException("both Content-Length and Transfer-Encoding: chunked")
}

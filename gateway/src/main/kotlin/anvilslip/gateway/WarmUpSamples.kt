package anvilslip.gateway

import anvilslip.entry.http.HttpHandler

/** Messages of clients and backend servers, for synthetic exchanges before traffic arrives. */
public interface WarmUpSamples {
    /** Answers inventory queries, and accepts orders, as an engine does. */
    public val engine: HttpHandler
}

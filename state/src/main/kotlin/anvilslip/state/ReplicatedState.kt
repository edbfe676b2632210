package anvilslip.state

import kotlinx.collections.immutable.persistentMapOf
import kotlinx.serialization.Serializable
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours

/** The state that must survive the loss of instances. It changes only through [apply], which is deterministic. */
@Serializable
public data class ReplicatedState(
    val configuration: Configuration = Configuration(),
    /** The latest changes by the revision that they led to, so that other instances can update their copy incrementally. */
    val recentChanges: SerializablePersistentMap<Long, Change> = persistentMapOf(),
    /** Outcomes of the latest configuration requests by request ID, returned again for repeated requests. */
    val outcomes: SerializablePersistentMap<String, Outcome> = persistentMapOf(),
    private val outcomeOrder: ExpiryQueue<String> = ExpiryQueue(),
    val claims: SerializablePersistentMap<ClaimKey, Claim> = persistentMapOf(),
    private val claimOrder: ExpiryQueue<ClaimExpiryEntry> = ExpiryQueue(),
    val buckets: SerializablePersistentMap<String, BucketCheckpoint> = persistentMapOf(),
    val suspects: SerializablePersistentMap<String, Suspect> = persistentMapOf(),
    val document: ConfigurationDocument? = null,
    /** The newest version of each adapter for which [Command.NameVersion] recorded one. */
    val namedVersions: SerializablePersistentMap<AdapterName, Long> = persistentMapOf(),
    /** Increases with each change of [namedVersions]. */
    val namedRevision: Long = 0,
    /** Incarnations of the servers that crashed under requests which must not be sent any more, by the key of the requests. */
    val quarantines: SerializablePersistentMap<String, Set<String>> = persistentMapOf(),
    /** Availability zones under evacuation. */
    val evacuations: Set<String> = emptySet(),
    /** Increases with each change of [evacuations]. */
    val evacuationRevision: Long = 0,
) {
    /** Approximate size in bytes of the largest part of the state, the document. */
    internal val contentBytes: Int get() = document?.text?.length ?: 0

    /** Returns the state and the outcome after [command] is applied; [atMillis] is its time in milliseconds since the epoch. */
    public fun apply(
        command: Command,
        atMillis: Long,
    ): Transition =
        when (command) {
            is Command.Configure -> configure(command)
            is Command.TakeClaim -> expireClaims(atMillis).takeClaim(command, atMillis)
            is Command.FinishClaim -> finishClaim(command)
            is Command.ReleaseClaim -> releaseClaim(command)
            is Command.Checkpoint -> Transition(copy(buckets = buckets.putAll(command.buckets)), Outcome.Done)
            is Command.RecordCrash -> recordCrash(command, atMillis)
            is Command.RetractCrash -> retractCrash(command)
            is Command.Pardon -> Transition(copy(suspects = suspects.remove(command.fingerprint)), Outcome.Done)
            is Command.ReplaceDocument -> replaceDocument(command.document)
            is Command.NameVersion -> nameVersion(command)
            is Command.UpdateQuarantines -> updateQuarantines(command)
            is Command.SetEvacuation -> setEvacuation(command)
            is Command.ReadBarrier -> Transition(this, Outcome.Done)
        }

    private fun updateQuarantines(command: Command.UpdateQuarantines): Transition {
        val next = quarantines.builder()
        command.removed.forEach(next::remove)
        next.putAll(command.added)
        return Transition(copy(quarantines = next.build()), Outcome.Done)
    }

    private fun replaceDocument(next: ConfigurationDocument): Transition {
        val inForce = document?.version
        if (inForce != null && next.version <= inForce) return Transition(this, Outcome.DocumentSuperseded(inForce))
        return Transition(copy(document = next), Outcome.DocumentInForce(next.version))
    }

    private fun nameVersion(command: Command.NameVersion): Transition {
        val name = AdapterName(command.model, command.adapter)
        if ((namedVersions[name] ?: 0) >= command.version) return Transition(this, Outcome.Done)
        return Transition(copy(namedVersions = namedVersions.put(name, command.version), namedRevision = namedRevision + 1), Outcome.Done)
    }

    private fun setEvacuation(command: Command.SetEvacuation): Transition {
        val next = if (command.isActive) evacuations + command.zone else evacuations - command.zone
        if (next == evacuations) return Transition(this, Outcome.Done)
        val expected = command.expectedRevision
        if (expected != null && expected != evacuationRevision) return Transition(this, Outcome.Conflict(evacuationRevision))
        return Transition(copy(evacuations = next, evacuationRevision = evacuationRevision + 1), Outcome.Done)
    }

    private fun configure(command: Command.Configure): Transition {
        outcomes[command.requestId]?.let { return Transition(this, it) }
        val expected = command.expectedRevision
        if (expected != null && expected != configuration.revision) {
            return recordOutcome(command.requestId, Outcome.Conflict(configuration.revision))
        }
        return configuration.withChange(command.change).fold(
            { recordOutcome(command.requestId, Outcome.Rejected(it)) },
            { copy(configuration = it).recordChange(command.change).recordOutcome(command.requestId, Outcome.Configured(it.revision)) },
        )
    }

    private fun recordChange(change: Change): ReplicatedState {
        val revision = configuration.revision
        return copy(recentChanges = recentChanges.put(revision, change).remove(revision - RETAINED_CHANGES))
    }

    private fun recordOutcome(
        requestId: String,
        outcome: Outcome,
    ): Transition {
        var map = outcomes.put(requestId, outcome)
        var order = outcomeOrder.plus(requestId)
        if (order.size > RETAINED_OUTCOMES) {
            map = map.remove(order.oldest()!!)
            order = order.dropOldest()
        }
        return Transition(copy(outcomes = map, outcomeOrder = order), outcome)
    }

    private fun takeClaim(
        command: Command.TakeClaim,
        atMillis: Long,
    ): Transition {
        val claim = claims[command.key]
        if (claim != null) return Transition(this, existingClaimOutcome(claim, command, atMillis))
        val taken = Claim(command.digest, command.holder, atMillis, atMillis + command.lifetimeMillis)
        val next =
            copy(
                claims = claims.put(command.key, taken),
                claimOrder = claimOrder.plus(ClaimExpiryEntry(command.key, atMillis)),
            )
        return Transition(next, Outcome.ClaimTaken)
    }

    private fun existingClaimOutcome(
        claim: Claim,
        command: Command.TakeClaim,
        atMillis: Long,
    ): Outcome {
        val answer = claim.answer
        return when {
            claim.digest != command.digest -> Outcome.ClaimMismatch
            answer == null && claim.holder == command.holder -> Outcome.ClaimTaken
            answer != null -> Outcome.ClaimAnswered(answer)
            atMillis < claim.deadlineMillis -> Outcome.ClaimRunning(claim.deadlineMillis - atMillis)
            else -> Outcome.ClaimUnknown
        }
    }

    private fun finishClaim(command: Command.FinishClaim): Transition {
        val claim = claims[command.key]?.takeIf { it.holder == command.holder } ?: return Transition(this, Outcome.ClaimMismatch)
        if (claim.answer != null) return Transition(this, Outcome.Done)
        return Transition(copy(claims = claims.put(command.key, claim.copy(answer = command.answer))), Outcome.Done)
    }

    private fun releaseClaim(command: Command.ReleaseClaim): Transition {
        val claim = claims[command.key]
        val held = claim != null && claim.holder == command.holder && claim.answer == null
        return if (held) Transition(copy(claims = claims.remove(command.key)), Outcome.Done) else Transition(this, Outcome.ClaimMismatch)
    }

    private fun expireClaims(atMillis: Long): ReplicatedState {
        var state = this
        var oldest = claimOrder.oldest()
        while (oldest != null && oldest.takenMillis + CLAIM_RETENTION.inWholeMilliseconds < atMillis) {
            state = state.withoutOldestClaim(oldest)
            oldest = state.claimOrder.oldest()
        }
        return state
    }

    private fun withoutOldestClaim(age: ClaimExpiryEntry): ReplicatedState {
        val retaken = claims[age.key]?.takenMillis != age.takenMillis
        return copy(claims = if (retaken) claims else claims.remove(age.key), claimOrder = claimOrder.dropOldest())
    }

    private fun recordCrash(
        command: Command.RecordCrash,
        atMillis: Long,
    ): Transition {
        val recent = suspects.builder()
        recent.values.removeAll { !it.quarantined && it.lastCrashMillis + SUSPECT_RETENTION.inWholeMilliseconds < atMillis }
        for (request in command.requests) {
            val crashes = recent[request.fingerprint]?.crashes.orEmpty() + command.crash
            recent[request.fingerprint] = Suspect(request.fingerprint, request.workspace, request.adapter, crashes, atMillis)
        }
        return Transition(copy(suspects = recent.build()), Outcome.Done)
    }

    private fun retractCrash(command: Command.RetractCrash): Transition {
        val next = suspects.builder()
        for (suspect in suspects.values.filter { command.crash in it.crashes }) {
            val crashes = suspect.crashes - command.crash
            if (crashes.isEmpty()) next.remove(suspect.fingerprint) else next[suspect.fingerprint] = suspect.copy(crashes = crashes)
        }
        return Transition(copy(suspects = next.build()), Outcome.Done)
    }

    public companion object {
        /** How long a claim and its answer are stored. A request repeated after that is treated as a new one. */
        public val CLAIM_RETENTION: Duration = 24.hours

        /** How long after its last crash a suspect is kept if it is not quarantined. */
        private val SUSPECT_RETENTION = 1.hours
        private const val RETAINED_CHANGES = 1_024
        private const val RETAINED_OUTCOMES = 10_000
    }
}

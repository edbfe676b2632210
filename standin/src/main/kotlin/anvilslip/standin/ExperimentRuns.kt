package anvilslip.standin

import anvilslip.policy.Placement
import anvilslip.policy.PlacementOptions
import anvilslip.policy.PlacementPolicy
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Runs all combinations of deployment, scenario and policy on the same seeds. */
public object ExperimentRuns {
    private val deployments = listOf(ExperimentOptions.TILAHUN, ExperimentOptions.JARUM)

    private val scenarios: Map<String, (ExperimentOptions) -> ExperimentOptions> =
        mapOf(
            "steady" to { it.copy(shiftAt = null) },
            "term-start" to { it },
            "failed-loads" to { it.copy(failedLoads = 0.1) },
            "cold-restart" to { it.copy(shiftAt = null, restartAt = 300.seconds) },
        )

    private val policies: Map<String, (PlacementOptions, Long) -> PlacementPolicy> =
        mapOf(
            "anvilslip" to { options, _ -> Placement(options, Duration.ZERO, hasPredecessor = false) },
            "lru" to { options, seed -> SimplePlacement(options, SimplePlacement.Eviction.LEAST_RECENTLY_USED, seed) },
            "random" to { options, seed -> SimplePlacement(options, SimplePlacement.Eviction.RANDOM, seed) },
        )

    /** Runs every combination on [seeds]; calls [onResult] after each run. */
    public fun run(
        seeds: LongRange,
        onResult: (ExperimentResult) -> Unit,
    ) {
        for (deployment in deployments) {
            for ((scenario, change) in scenarios) {
                for ((name, policy) in policies) {
                    for (seed in seeds) onResult(run(change(deployment), scenario, name, policy, seed))
                }
            }
        }
    }

    private fun run(
        options: ExperimentOptions,
        scenario: String,
        name: String,
        policy: (PlacementOptions, Long) -> PlacementPolicy,
        seed: Long,
    ): ExperimentResult {
        val placement = PlacementOptions(loadsPerSecond = options.loadsPerSecond)
        return Experiment(options, scenario, name, policy(placement, seed), seed).run()
    }
}

package anvilslip.state

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf

private const val DAY_MILLIS = 24 * 3600 * 1000L

class ReplicatedStateSpec :
    DescribeSpec({
        val key = ClaimKey("w", "k1")

        fun ReplicatedState.run(
            command: Command,
            atMillis: Long = 0,
        ) = apply(command, atMillis)

        fun takeClaim(
            holder: String = "h1",
            digest: String = "d",
        ) = Command.TakeClaim(key, digest, holder, lifetimeMillis = 1000)

        val answer = StoredAnswer(200, "text/plain", "done")

        describe("concurrent changes with the same expected revision") {
            val first = Command.Configure(Change.PutClass(ServiceClass("a", 1)), "r1", expectedRevision = 0)
            val second = Command.Configure(Change.PutClass(ServiceClass("b", 1)), "r2", expectedRevision = 0)

            it("are accepted only once") {
                val won = ReplicatedState().run(first)
                won.outcome shouldBe Outcome.Configured(1)
                won.state.run(second).outcome shouldBe Outcome.Conflict(1)
            }

            it("get their first outcome again when they are repeated") {
                val state =
                    ReplicatedState()
                        .run(first)
                        .state
                        .run(second)
                        .state
                state.run(first).outcome shouldBe Outcome.Configured(1)
                state.run(second).outcome shouldBe Outcome.Conflict(1)
                state
                    .run(first)
                    .state.configuration.revision shouldBe 1
            }
        }

        describe("an invalid change") {
            it("is rejected with all of its problems") {
                val change = Change.PutWorkspace(Workspace("bad name", -1.0, 0))
                val outcome = ReplicatedState().run(Command.Configure(change, "r")).outcome
                outcome.shouldBeInstanceOf<Outcome.Rejected>().problems.size shouldBe 3
            }
        }

        describe("a claim") {
            it("can be taken once") {
                val taken = ReplicatedState().run(takeClaim())
                taken.outcome shouldBe Outcome.ClaimTaken
                taken.state.run(takeClaim("h2"), 400).outcome shouldBe Outcome.ClaimRunning(600)
            }

            it("can be taken again by its holder") {
                ReplicatedState()
                    .run(takeClaim())
                    .state
                    .run(takeClaim())
                    .outcome shouldBe Outcome.ClaimTaken
            }

            it("returns the stored answer once it is finished") {
                val state =
                    ReplicatedState()
                        .run(takeClaim())
                        .state
                        .run(Command.FinishClaim(key, "h1", answer))
                        .state
                state.run(takeClaim("h2")).outcome shouldBe Outcome.ClaimAnswered(answer)
            }

            it("has an unknown outcome after its deadline passed without an answer, and cannot be taken again") {
                ReplicatedState()
                    .run(takeClaim())
                    .state
                    .run(takeClaim("h2"), 1000)
                    .outcome shouldBe Outcome.ClaimUnknown
            }

            it("can be taken again after its holder released it") {
                val state =
                    ReplicatedState()
                        .run(takeClaim())
                        .state
                        .run(Command.ReleaseClaim(key, "h1"))
                        .state
                state.run(takeClaim("h2")).outcome shouldBe Outcome.ClaimTaken
            }

            it("cannot be released by another sender, nor once it is answered") {
                val state = ReplicatedState().run(takeClaim()).state
                state.run(Command.ReleaseClaim(key, "h2")).outcome shouldBe Outcome.ClaimMismatch
                val finished = state.run(Command.FinishClaim(key, "h1", answer)).state
                finished.run(Command.ReleaseClaim(key, "h1")).outcome shouldBe Outcome.ClaimMismatch
            }

            it("rejects another request with the same idempotency key") {
                ReplicatedState()
                    .run(takeClaim())
                    .state
                    .run(takeClaim("h2", "other"))
                    .outcome shouldBe Outcome.ClaimMismatch
            }

            it("is kept for the retention period and no longer") {
                val state = ReplicatedState().run(takeClaim()).state
                state.run(takeClaim("h2"), DAY_MILLIS).outcome shouldBe Outcome.ClaimUnknown
                state.run(takeClaim("h2"), DAY_MILLIS + 1).outcome shouldBe Outcome.ClaimTaken
            }

            it("is kept when an earlier claim with the same key expires") {
                val released =
                    ReplicatedState()
                        .run(takeClaim())
                        .state
                        .run(Command.ReleaseClaim(key, "h1"))
                        .state
                val retaken = released.run(takeClaim("h2"), DAY_MILLIS - 1).state
                retaken.run(takeClaim("h3"), DAY_MILLIS + 500).outcome shouldBe Outcome.ClaimRunning(499)
            }
        }

        describe("a request that was running when servers crashed") {
            val request = InterruptedRequest("f", "w", "a@v1")

            it("is quarantined after the second server") {
                val once = ReplicatedState().run(Command.RecordCrash("e1#1", listOf(request))).state
                once.suspects.getValue("f").quarantined shouldBe false
                once
                    .run(Command.RecordCrash("e1#1", listOf(request)))
                    .state.suspects
                    .getValue("f")
                    .quarantined shouldBe false
                once
                    .run(Command.RecordCrash("e2#1", listOf(request)))
                    .state.suspects
                    .getValue("f")
                    .quarantined shouldBe true
            }

            it("is cleared when the crash is retracted") {
                val state = ReplicatedState().run(Command.RecordCrash("e1#1", listOf(request))).state
                state
                    .run(Command.RetractCrash("e1#1"))
                    .state.suspects
                    .isEmpty() shouldBe true
            }

            it("is cleared when an operator pardons it") {
                val state = ReplicatedState().run(Command.RecordCrash("e1#1", listOf(request))).state
                state
                    .run(Command.Pardon("f"))
                    .state.suspects
                    .isEmpty() shouldBe true
            }
        }
    })

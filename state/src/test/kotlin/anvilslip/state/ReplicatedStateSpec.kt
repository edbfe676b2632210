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

        fun take(
            holder: String = "h1",
            digest: String = "d",
        ) = Command.TakeClaim(key, digest, holder, lifetimeMillis = 1000)

        val answer = StoredAnswer(200, "text/plain", "done")

        describe("operators who race under equal numbers") {
            val first = Command.Configure(Change.PutClass(ServiceClass("a", 1)), "r1", expectedRevision = 0)
            val second = Command.Configure(Change.PutClass(ServiceClass("b", 1)), "r2", expectedRevision = 0)

            it("have one winner") {
                val won = ReplicatedState().run(first)
                won.outcome shouldBe Outcome.Configured(1)
                won.state.run(second).outcome shouldBe Outcome.Conflict(1)
            }

            it("get the first outcome again when they resend") {
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
            it("is rejected with all that is wrong with it") {
                val change = Change.PutWorkspace(Workspace("bad name", -1.0, 0))
                val outcome = ReplicatedState().run(Command.Configure(change, "r")).outcome
                outcome.shouldBeInstanceOf<Outcome.Rejected>().problems.size shouldBe 3
            }
        }

        describe("a claim") {
            it("is taken once") {
                val taken = ReplicatedState().run(take())
                taken.outcome shouldBe Outcome.ClaimTaken
                taken.state.run(take("h2"), 400).outcome shouldBe Outcome.ClaimRunning(600)
            }

            it("is the same for a repeated proposal of its holder") {
                ReplicatedState()
                    .run(take())
                    .state
                    .run(take())
                    .outcome shouldBe Outcome.ClaimTaken
            }

            it("gives the stored answer once finished") {
                val state =
                    ReplicatedState()
                        .run(take())
                        .state
                        .run(Command.FinishClaim(key, "h1", answer))
                        .state
                state.run(take("h2")).outcome shouldBe Outcome.ClaimAnswered(answer)
            }

            it("is of unknown outcome when its time has passed without an answer, and never runs again") {
                ReplicatedState()
                    .run(take())
                    .state
                    .run(take("h2"), 1000)
                    .outcome shouldBe Outcome.ClaimUnknown
            }

            it("may be taken again after its holder gave it up unsent") {
                val state =
                    ReplicatedState()
                        .run(take())
                        .state
                        .run(Command.ReleaseClaim(key, "h1"))
                        .state
                state.run(take("h2")).outcome shouldBe Outcome.ClaimTaken
            }

            it("cannot be given up by another, nor once answered") {
                val state = ReplicatedState().run(take()).state
                state.run(Command.ReleaseClaim(key, "h2")).outcome shouldBe Outcome.ClaimMismatch
                val finished = state.run(Command.FinishClaim(key, "h1", answer)).state
                finished.run(Command.ReleaseClaim(key, "h1")).outcome shouldBe Outcome.ClaimMismatch
            }

            it("refuses the same key for another request") {
                ReplicatedState()
                    .run(take())
                    .state
                    .run(take("h2", "other"))
                    .outcome shouldBe Outcome.ClaimMismatch
            }

            it("is kept for its retention and not longer") {
                val state = ReplicatedState().run(take()).state
                state.run(take("h2"), DAY_MILLIS).outcome shouldBe Outcome.ClaimUnknown
                state.run(take("h2"), DAY_MILLIS + 1).outcome shouldBe Outcome.ClaimTaken
            }

            it("outlives the expiry of an earlier claim under the same key") {
                val released =
                    ReplicatedState()
                        .run(take())
                        .state
                        .run(Command.ReleaseClaim(key, "h1"))
                        .state
                val retaken = released.run(take("h2"), DAY_MILLIS - 1).state
                retaken.run(take("h3"), DAY_MILLIS + 500).outcome shouldBe Outcome.ClaimRunning(499)
            }
        }

        describe("a request that was running when servers crashed") {
            val blamed = InterruptedRequest("f", "w", "a@v1")

            it("is quarantined after the second server") {
                val once = ReplicatedState().run(Command.RecordCrash("e1#1", listOf(blamed))).state
                once.suspects.getValue("f").quarantined shouldBe false
                once
                    .run(Command.RecordCrash("e1#1", listOf(blamed)))
                    .state.suspects
                    .getValue("f")
                    .quarantined shouldBe false
                once
                    .run(Command.RecordCrash("e2#1", listOf(blamed)))
                    .state.suspects
                    .getValue("f")
                    .quarantined shouldBe true
            }

            it("is acquitted when the server had not crashed") {
                val state = ReplicatedState().run(Command.RecordCrash("e1#1", listOf(blamed))).state
                state
                    .run(Command.RetractCrash("e1#1"))
                    .state.suspects
                    .isEmpty() shouldBe true
            }

            it("is pardoned by an operator") {
                val state = ReplicatedState().run(Command.RecordCrash("e1#1", listOf(blamed))).state
                state
                    .run(Command.Pardon("f"))
                    .state.suspects
                    .isEmpty() shouldBe true
            }
        }
    })

// Package sabotage switches single mechanisms off, in builds with the tag
// sabotage only, to show that the proof of what they ensure fails without them.
// In other builds Active is the constant false, and the compiler drops the
// branches.
//
// # Usage
//
//	if !sabotage.Active(sabotage.SkipFence) { ... }
//
//	AZUREHITCH_SABOTAGE=SkipFence go test -tags sabotage -run TestProve/ReplicaLimitTokenChecked ./internal/proof/...
package sabotage

// Mechanism is one mechanism that can be switched off.
type Mechanism string

// The mechanisms.
const (
	// SkipFence does not present the token to engines.
	SkipFence Mechanism = "SkipFence"
	// SkipUnreachedCount does not count servers that a new holder has not reached.
	SkipUnreachedCount Mechanism = "SkipUnreachedCount"
	// SkipIntent orders loads from engines that ignore tokens without an intent.
	SkipIntent Mechanism = "SkipIntent"
	// SkipAdoption forgets the open intents of a former holder.
	SkipAdoption Mechanism = "SkipAdoption"
	// SkipLowering keeps replicas above a limit that was lowered.
	SkipLowering Mechanism = "SkipLowering"
	// SkipLeaseCheck decides without a valid lease, whatever the engine.
	SkipLeaseCheck Mechanism = "SkipLeaseCheck"
	// SkipMemoryBooking does not book the memory of a load before its order.
	SkipMemoryBooking Mechanism = "SkipMemoryBooking"
	// SkipSeenCheck lets a claim win whatever the claimer saw.
	SkipSeenCheck Mechanism = "SkipSeenCheck"
	// SkipBaseCheck lets a publication come into force whatever it was edited from.
	SkipBaseCheck Mechanism = "SkipBaseCheck"
	// SkipWaitLimit lets requests wait for a replica beyond their deadline.
	SkipWaitLimit Mechanism = "SkipWaitLimit"
	// SkipClaim runs calls with an idempotency key without claiming it.
	SkipClaim Mechanism = "SkipClaim"
	// RetryUnsafe retries calls that may have been run.
	RetryUnsafe Mechanism = "RetryUnsafe"
	// ClaimNotRun tells callers that a request of unknown outcome was not run.
	ClaimNotRun Mechanism = "ClaimNotRun"
	// SkipWholeCheck passes on an answer that broke off.
	SkipWholeCheck Mechanism = "SkipWholeCheck"
	// EndCutStreams ends a cut stream as if it were complete.
	EndCutStreams Mechanism = "EndCutStreams"
	// ResumeFromStart resumes a stream at its first token.
	ResumeFromStart Mechanism = "ResumeFromStart"
	// IgnoreLeaving sends new work to servers that leave.
	IgnoreLeaving Mechanism = "IgnoreLeaving"
	// SkipDrain stops without waiting for requests in progress.
	SkipDrain Mechanism = "SkipDrain"
	// SkipRelease stops without giving pools back.
	SkipRelease Mechanism = "SkipRelease"
	// SkipBudget retries without a budget.
	SkipBudget Mechanism = "SkipBudget"
	// SkipPromise lets trials use what is promised to paying callers.
	SkipPromise Mechanism = "SkipPromise"
	// SkipRetired forgets servers that a publication takes out of a pool.
	SkipRetired Mechanism = "SkipRetired"
	// JudgeByTables refuses publications whose tables this release can't read.
	JudgeByTables Mechanism = "JudgeByTables"
	// SkipQueueLimit admits all requests at once.
	SkipQueueLimit Mechanism = "SkipQueueLimit"
	// SkipLoadSlots lets each load from the weight store begin at once.
	SkipLoadSlots Mechanism = "SkipLoadSlots"
	// TrialsLikePaid loads for trials as for paying callers.
	TrialsLikePaid Mechanism = "TrialsLikePaid"
	// SkipSnapshots appends no snapshots.
	SkipSnapshots Mechanism = "SkipSnapshots"
)

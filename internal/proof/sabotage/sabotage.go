// Package sabotage switches off single mechanisms, to check that the tests of a mechanism fail
// without it. It has an effect only in builds with the tag sabotage. In other builds Active always
// returns false, and the compiler removes the branches.
//
// # Usage
//
//	if !sabotage.Active(sabotage.SkipFence) { ... }
//
//	AZUREHITCH_SABOTAGE=SkipFence go test -tags sabotage \
//		-run TestProveFrozenHolderTokenChecked ./internal/proof/points
package sabotage

// Mechanism is a mechanism that can be switched off; its value is that of AZUREHITCH_SABOTAGE.
type Mechanism string

// The mechanisms. Each comment says what the code does when the mechanism is switched off.
const (
	// SkipFence does not register the fencing token of a holder with the engines.
	SkipFence Mechanism = "SkipFence"
	// SkipUnreachedCount lets a new holder add replicas before it has reached all servers.
	SkipUnreachedCount Mechanism = "SkipUnreachedCount"
	// SkipIntent orders loads on engines that ignore fencing tokens without an intent, the record
	// of such a load that must be in the log first.
	SkipIntent Mechanism = "SkipIntent"
	// SkipAdoption ignores the open intents of former holders.
	SkipAdoption Mechanism = "SkipAdoption"
	// SkipLowering keeps replicas loaded that exceed a lowered limit.
	SkipLowering Mechanism = "SkipLowering"
	// SkipLeaseCheck orders loads without a valid lease, on all kinds of engines.
	SkipLeaseCheck Mechanism = "SkipLeaseCheck"
	// SkipMemoryBooking does not count the memory of a load until its order is sent.
	SkipMemoryBooking Mechanism = "SkipMemoryBooking"
	// SkipSeenCheck accepts a claim of a pool that is based on an outdated lease.
	SkipSeenCheck Mechanism = "SkipSeenCheck"
	// SkipBaseCheck accepts a publication that was edited from an outdated version.
	SkipBaseCheck Mechanism = "SkipBaseCheck"
	// SkipWaitLimit lets requests wait for a replica past their deadline.
	SkipWaitLimit Mechanism = "SkipWaitLimit"
	// SkipClaim runs calls with an idempotency key without a claim of the key.
	SkipClaim Mechanism = "SkipClaim"
	// RetryUnsafe retries calls that may have been run and are not idempotent.
	RetryUnsafe Mechanism = "RetryUnsafe"
	// ClaimNotRun reports requests of unknown outcome as not run.
	ClaimNotRun Mechanism = "ClaimNotRun"
	// SkipWholeCheck forwards an answer without checking that it is complete.
	SkipWholeCheck Mechanism = "SkipWholeCheck"
	// EndCutStreams ends a cut stream as if it were complete.
	EndCutStreams Mechanism = "EndCutStreams"
	// ResumeFromStart resumes a stream at its first token instead of after the last forwarded one.
	ResumeFromStart Mechanism = "ResumeFromStart"
	// IgnoreLeaving sends new requests to servers that are shutting down.
	IgnoreLeaving Mechanism = "IgnoreLeaving"
	// SkipDrain stops a daemon without waiting for its requests in progress.
	SkipDrain Mechanism = "SkipDrain"
	// SkipRelease stops a daemon without releasing its pools.
	SkipRelease Mechanism = "SkipRelease"
	// SkipBudget retries without a retry budget.
	SkipBudget Mechanism = "SkipBudget"
	// SkipPromise lets requests of free-trial callers use the number of concurrent requests that is
	// promised to paying callers.
	SkipPromise Mechanism = "SkipPromise"
	// SkipRetired forgets the servers that a publication removes from a pool, although they may
	// still have replicas.
	SkipRetired Mechanism = "SkipRetired"
	// JudgeByTables lets a daemon refuse publications whose tables its release can't read.
	JudgeByTables Mechanism = "JudgeByTables"
	// SkipQueueLimit admits every request without queueing.
	SkipQueueLimit Mechanism = "SkipQueueLimit"
	// SkipLoadSlots starts each load from the weight store at once.
	SkipLoadSlots Mechanism = "SkipLoadSlots"
	// TrialsLikePaid gives requests of free-trial callers the same rights as requests of paying
	// callers in decisions on loads and memory.
	TrialsLikePaid Mechanism = "TrialsLikePaid"
	// SkipSnapshots appends no snapshots.
	SkipSnapshots Mechanism = "SkipSnapshots"
)

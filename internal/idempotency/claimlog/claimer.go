package claimlog

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"sync"
	"time"

	"azurehitch"
	"azurehitch/internal/oplog/follow"
	"azurehitch/internal/oplog/recordpb"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"
)

// batchDelay is how long the first claim of a batch waits for others to share its record.
const batchDelay = 5 * time.Millisecond

// NewKey returns the key of a call, from the caller's name and its idempotency key.
func NewKey(caller, idempotencyKey string) Key {
	digest := sha256.Sum256([]byte(caller + "\x00" + idempotencyKey))
	return Key{High: binary.BigEndian.Uint64(digest[:8]), Low: binary.BigEndian.Uint64(digest[8:16])}
}

// Claimer appends claims and withdrawals in batches. It is safe for concurrent use.
type Claimer struct {
	fold     *Fold
	clock    azurehitch.Clock
	appender *follow.Appender[verdict]
	group    *errgroup.Group

	mu sync.Mutex
	// batch collects claims until batchDelay has passed; nil if no claim waits.
	batch *batch
}

// batch collects the claims and withdrawals of one record.
type batch struct {
	claims    []*recordpb.CallClaim
	withdrawn []*recordpb.CallClaim
	// done is closed after verdict and err are set.
	done    chan struct{}
	verdict verdict
	err     error
}

// NewClaimer returns a claimer that appends to the stream that feeds the fold.
func NewClaimer(log azurehitch.Log, stream string, fold *Fold, observer follow.Observer) *Claimer {
	return &Claimer{
		fold:     fold,
		clock:    fold.clock,
		appender: follow.NewAppender(log, stream, fold.pending, observer),
		group:    &errgroup.Group{},
	}
}

// Claim claims a key for a call whose digest is body. It returns the claim that holds the key; won
// is true if that is the claim that Claim has just appended. The same key must not be claimed
// concurrently in one daemon. The error is an *ErrClaimsMissing if it is unknown whether the key was
// claimed before, and a *follow.ErrOutcomeUnknown if it is unknown whether the claim was appended.
func (c *Claimer) Claim(ctx context.Context, key Key, body uint64) (claim Claim, won bool, err error) {
	message := &recordpb.CallClaim{KeyHigh: key.High, KeyLow: key.Low, Body: body}
	b := c.addToBatch(func(b *batch) { b.claims = append(b.claims, message) })
	if err := b.wait(ctx); err != nil {
		return Claim{}, false, err
	}
	if err := c.fold.checkGap(); err != nil {
		return Claim{}, false, err
	}
	for _, winner := range b.verdict.winners {
		if winner.Key == key {
			return winner, winner.Offset == b.verdict.offset, nil
		}
	}
	return Claim{}, false, errors.New("claim is missing from its own record")
}

// Withdraw withdraws the claim on a key whose call was not run, so that it can be claimed again.
func (c *Claimer) Withdraw(ctx context.Context, key Key) error {
	message := &recordpb.CallClaim{KeyHigh: key.High, KeyLow: key.Low}
	b := c.addToBatch(func(b *batch) { b.withdrawn = append(b.withdrawn, message) })
	return b.wait(ctx)
}

func (b *batch) wait(ctx context.Context) error {
	select {
	case <-b.done:
		return b.err
	case <-ctx.Done():
		return &follow.ErrOutcomeUnknown{Cause: ctx.Err()}
	}
}

// addToBatch adds to the batch being collected, and starts one if there is none.
func (c *Claimer) addToBatch(add func(*batch)) *batch {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.batch == nil {
		c.batch = &batch{done: make(chan struct{})}
		c.group.Go(c.flush)
	}
	add(c.batch)
	return c.batch
}

func (c *Claimer) flush() error {
	ctx := context.Background()
	if err := c.clock.Sleep(ctx, batchDelay); err != nil {
		return err
	}
	c.mu.Lock()
	b := c.batch
	c.batch = nil
	c.mu.Unlock()
	b.verdict, b.err = c.appender.Append(ctx, func(sequence int64) ([]byte, error) {
		return proto.Marshal(&recordpb.Record{
			Holder:   &recordpb.Holder{Daemon: c.fold.self.Daemon, Incarnation: c.fold.self.Incarnation},
			Sequence: sequence,
			Kind:     &recordpb.Record_CallClaims{CallClaims: &recordpb.CallClaims{Claims: b.claims, Withdrawn: b.withdrawn}},
		})
	})
	close(b.done)
	return nil
}

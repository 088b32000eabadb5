// Package logera tracks the era of the platform's log as its answers name it.
//
// # Usage
//
//	var tracker logera.Tracker
//	change, err := tracker.Enter(batch.Era)
//	if change.IsNew { ... }
//
// The log may return from an older copy: it then lacks records that it had acknowledged, and gives their
// offsets out again. Each return begins another era, so that only an era and an offset together identify
// a record. Eras are positive numbers that rise. An answer without a valid era has era 0.
package logera

import "github.com/pkg/errors"

// ErrEarlier reports an answer from before the log returned from an older copy. It shows nothing of what
// the log holds now.
var ErrEarlier = errors.New("the answer is from an earlier era of the log")

// Change is what an answer shows of the era of the log.
type Change struct {
	// IsNew is true if the answer names a later era than the answers before. Their offsets then have no
	// meaning any more.
	IsNew bool
	// Named and Before are the eras that this answer and the one before it name. They differ also after an
	// answer without an era.
	Named  int64
	Before int64
}

// Tracker holds the latest era that an answer has named. It is not safe for concurrent use.
type Tracker struct {
	era   int64
	named int64
}

// Era returns the latest era; 0 if no answer has named one.
func (t *Tracker) Era() int64 { return t.era }

// Enter records the era that an answer names. An answer without an era belongs to the latest one. The error
// is ErrEarlier if the answer belongs to an earlier era.
func (t *Tracker) Enter(era int64) (Change, error) {
	change := Change{Named: era, Before: t.named, IsNew: era > t.era}
	t.named = era
	if era != 0 && era < t.era {
		return change, ErrEarlier
	}
	t.era = max(t.era, era)
	return change, nil
}

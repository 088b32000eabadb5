package priority_test

import (
	"slices"
	"testing"
	"time"

	"azurehitch/internal/forward/priority"

	qt "github.com/frankban/quicktest"
)

// TestCompare guards against an order that differs from the one specified for requests that wait together.
func TestCompare(t *testing.T) {
	now := time.Unix(1000, 0)
	in := func(id string, objective time.Duration, change func(s *priority.Standing)) priority.Standing {
		s := priority.Standing{ID: id, Objective: now.Add(objective)}
		if change != nil {
			change(&s)
		}
		return s
	}
	waiting := []priority.Standing{
		in("late", -time.Second, func(s *priority.Standing) { s.IsLate = true }),
		in("patient", 6*time.Second, nil),
		in("excess", 400*time.Millisecond, func(s *priority.Standing) { s.Excess = 7 * time.Second }),
		in("less urgent", 400*time.Millisecond, func(s *priority.Standing) { s.Rank = 1 }),
		in("urgent", 405*time.Millisecond, nil),
		in("long prompt", 500*time.Millisecond, func(s *priority.Standing) { s.TimeToAnswer = 200 * time.Millisecond }),
		in("kind with losses", time.Second, func(s *priority.Standing) { s.Credit = priority.LossCredit(0.8) }),
	}
	slices.SortFunc(waiting, priority.Compare)
	var ids []string
	for _, s := range waiting {
		ids = append(ids, s.ID)
	}
	qt.New(t).Assert(ids, qt.DeepEquals, []string{"kind with losses", "long prompt", "urgent", "less urgent", "patient", "excess", "late"})
}

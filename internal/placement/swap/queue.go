package swap

import (
	"maps"
	"slices"
	"time"

	"azurehitch/internal/forward/priority"
)

// queue holds the waiting requests by ID and by model. The requests for a model are sorted in the
// order in which they are served.
type queue struct {
	byID    map[string]*waiter
	byModel map[string][]*waiter
}

func newQueue() queue {
	return queue{byID: map[string]*waiter{}, byModel: map[string][]*waiter{}}
}

func (q queue) add(w *waiter) {
	if _, queued := q.byID[w.ID]; queued {
		return
	}
	q.byID[w.ID] = w
	q.byModel[w.Model] = slices.Insert(q.byModel[w.Model], q.ahead(w), w)
}

func (q queue) remove(id string) {
	w, ok := q.byID[id]
	if !ok {
		return
	}
	delete(q.byID, id)
	remaining := slices.DeleteFunc(q.byModel[w.Model], func(other *waiter) bool { return other == w })
	if q.byModel[w.Model] = remaining; len(remaining) == 0 {
		delete(q.byModel, w.Model)
	}
}

// ahead returns the number of requests for the same model that are served before w.
func (q queue) ahead(w *waiter) int {
	position, _ := slices.BinarySearchFunc(q.byModel[w.Model], w, compareWaiters)
	return position
}

// models returns the models with waiting requests, sorted by name.
func (q queue) models() []string { return slices.Sorted(maps.Keys(q.byModel)) }

// sorted returns all waiting requests in the order of service.
func (q queue) sorted() []*waiter { return slices.SortedFunc(maps.Values(q.byID), compareWaiters) }

const (
	// firstEventTime is the approximate time from a grant to the first event of the answer, without the
	// prefill of the prompt.
	firstEventTime = 100 * time.Millisecond
	// maxAnswerShare is the largest share of the time from arrival to objective that the expected time to
	// the answer takes, whatever length of the prompt the request states.
	maxAnswerShare = 0.5
	// startMargin is the share of that time by which a request should start earlier than expected to be
	// needed: a server may take longer.
	startMargin = 0.1
)

// timeToAnswer returns the expected time from the grant of a request to the first event of the answer, with a
// margin.
func (w *waiter) timeToAnswer() time.Duration {
	allowed := max(w.Objective.Sub(w.arrivedAt), 0)
	expected := firstEventTime + time.Duration(float64(allowed)*startMargin)
	return min(expected+prefillTime(w.PromptTokens), max(time.Duration(float64(allowed)*maxAnswerShare), firstEventTime))
}

// standing returns the position of a request in the order of service.
func (w *waiter) standing() priority.Standing {
	return priority.Standing{
		ID: w.ID, Rank: w.Urgency, Objective: w.Objective, TimeToAnswer: w.timeToAnswer(), Credit: w.credit, Excess: w.excess, IsLate: w.late,
	}
}

// compareWaiters orders requests by when they are served.
func compareWaiters(a, b *waiter) int { return priority.Compare(a.standing(), b.standing()) }

// reorder updates what the order of the requests depends on: the credit of their kind, and which of them can
// no longer be on time. These go behind those that can: under overload, serving the longest waits first would
// make all requests late. It calls lost for each request that has become late.
func (q queue) reorder(now time.Time, lossesOf func(model string) losses, lost func(w *waiter)) {
	for model, waiters := range q.byModel {
		isChanged, kinds := false, lossesOf(model)
		for _, w := range waiters {
			if current := kinds.of(w.Urgency).credit; current != w.credit {
				w.credit, isChanged = current, true
			}
			if !w.late && w.standing().MustBeLate(now) {
				w.late, isChanged = true, true
				lost(w)
			}
		}
		if isChanged {
			slices.SortFunc(waiters, compareWaiters)
		}
	}
}

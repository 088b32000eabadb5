package swap

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// queue is the requests that wait, by id and by model. Those for a model are in the order in
// which they are served.
type queue struct {
	byID    map[string]*waiter
	byModel map[string][]*waiter
}

func newQueue() queue {
	return queue{byID: map[string]*waiter{}, byModel: map[string][]*waiter{}}
}

func (q queue) add(w *waiter) {
	if _, waits := q.byID[w.ID]; waits {
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
	rest := slices.DeleteFunc(q.byModel[w.Model], func(other *waiter) bool { return other == w })
	if q.byModel[w.Model] = rest; len(rest) == 0 {
		delete(q.byModel, w.Model)
	}
}

// ahead is the number of requests for the same model that go before one.
func (q queue) ahead(w *waiter) int {
	position, _ := slices.BinarySearchFunc(q.byModel[w.Model], w, compareWaiters)
	return position
}

// models returns the models that requests wait for, in order.
func (q queue) models() []string { return slices.Sorted(maps.Keys(q.byModel)) }

// sorted returns all requests in the order in which they are served.
func (q queue) sorted() []*waiter { return slices.SortedFunc(maps.Values(q.byID), compareWaiters) }

// answerTime is about how long a request takes from its grant to its first event.
const answerTime = 100 * time.Millisecond

// rankLead is by how much later a request may have come, for each rank that it is more urgent, and still
// go first.
const rankLead = 300 * time.Millisecond

// turn is the time by which a request is served in order. The lead of urgent requests is bounded, so that
// those of a busy model don't keep all others from its servers.
func (w *waiter) turn() time.Time { return w.since.Add(time.Duration(w.Urgency) * rankLead) }

// compareWaiters orders requests: those that can still be on time first, then by their turns.
func compareWaiters(a, b *waiter) int {
	return cmp.Or(
		compareBool(a.late, b.late), a.turn().Compare(b.turn()), cmp.Compare(a.Urgency, b.Urgency), cmp.Compare(a.ID, b.ID),
	)
}

// demoteLate lets requests that can't be on time any more go behind those that can: where a model is
// asked for more than its servers can do, serving the longest waits first would make all late.
func (q queue) demoteLate(now time.Time) {
	for _, waiters := range q.byModel {
		demoted := false
		for _, w := range waiters {
			if !w.late && now.Add(answerTime).After(w.Objective) {
				w.late, demoted = true, true
			}
		}
		if demoted {
			slices.SortFunc(waiters, compareWaiters)
		}
	}
}

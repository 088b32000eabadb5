package policy

import (
	"container/heap"
	"time"
)

// event is something that happens at a time.
type event struct {
	at       time.Duration
	sequence int
	run      func()
}

// eventQueue is a heap of events.
type eventQueue []event

// Len implements heap.Interface.
func (q eventQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}

// Swap implements heap.Interface.
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// timeline is the virtual time and what is due.
type timeline struct {
	now      time.Duration
	events   eventQueue
	sequence int
}

// at makes a function run at a time.
func (t *timeline) at(at time.Duration, f func()) {
	t.sequence++
	heap.Push(&t.events, event{at: at, sequence: t.sequence, run: f})
}

// clock returns the virtual time for the decision code.
func (t *timeline) clock() time.Time { return time.Unix(0, 0).UTC().Add(t.now) }

// run runs all events. It tells the length of each step before the time moves on.
func (t *timeline) run(step func(length time.Duration)) {
	for len(t.events) > 0 {
		e := heap.Pop(&t.events).(event)
		step(e.at - t.now)
		t.now = e.at
		e.run()
	}
}

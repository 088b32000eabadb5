// Package limitbound states, for tests, how many requests a server with a rate limit may receive from
// all daemons together.
//
// # Usage
//
//	if most := limitbound.MostInWindow(arrivals); float64(most) > limitbound.Allowed(perSecond) { ... }
package limitbound

import (
	"slices"
	"time"
)

const (
	// Window is the span in which requests are counted. Any span of that length counts.
	Window = 4 * time.Second
	// NoticeTime is how long after a daemon has received a response with the limit its requests begin
	// to count.
	NoticeTime = 500 * time.Millisecond
	// A server may receive, within Window, burst times the requests that its limit allows, plus slack.
	burst = 1.5
	slack = 5
)

// Allowed returns how many requests a server may receive within Window, for a limit in requests per
// second.
func Allowed(perSecond float64) float64 { return burst*perSecond*Window.Seconds() + slack }

// MostInWindow returns the highest number of the times within any Window. The times are sorted.
func MostInWindow(times []time.Time) int {
	most := 0
	for i, at := range times {
		from, _ := slices.BinarySearchFunc(times, at.Add(-Window), time.Time.Compare)
		most = max(most, i-from+1)
	}
	return most
}

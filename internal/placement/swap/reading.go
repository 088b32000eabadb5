package swap

import (
	"slices"
	"time"
)

const (
	// longPrompt is from how many tokens on the reading of a prompt holds up the streams of a server:
	// prompts are read in pieces between the tokens of others.
	longPrompt = 3000
	// readTime is about how long a server reads a token of a prompt.
	readTime = 50 * time.Microsecond
	// readingLoad is the part of a server's slots that a long prompt counts for while it is read.
	readingLoad = 0.25
)

// IsLong reports whether a prompt of some tokens is one of those of which a server should read one
// at a time. Daemons let the holder place such requests, because it knows of all of them.
func IsLong(promptTokens int) bool { return promptTokens >= longPrompt }

// read notes that a server reads the prompt of a request from now on, if it is a long one. Callers state
// lengths as they like, so it counts for no longer than they wait.
func (s *server) read(need Need, now time.Time) {
	if !IsLong(need.PromptTokens) {
		return
	}
	s.readUntil = slices.DeleteFunc(s.readUntil, func(until time.Time) bool { return !now.Before(until) })
	until := need.Deadline
	if left := until.Sub(now); int64(need.PromptTokens) < int64(left/readTime) {
		until = now.Add(time.Duration(need.PromptTokens) * readTime)
	}
	s.readUntil = append(s.readUntil, until)
}

// reading is the number of long prompts that a server reads.
func (s *server) reading(now time.Time) int {
	count := 0
	for _, until := range s.readUntil {
		if now.Before(until) {
			count++
		}
	}
	return count
}

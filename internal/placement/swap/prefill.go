package swap

import (
	"slices"
	"time"
)

const (
	// longPromptTokens is the prompt length from which prefill delays the streams of a server.
	// Servers interleave chunks of prefill with the decoding of other requests.
	longPromptTokens = 3000
	// prefillTimePerToken is the approximate prefill time of one token.
	prefillTimePerToken = 50 * time.Microsecond
	// prefillSlotShare is the share of a server's slots that a long prompt counts for during
	// prefill.
	prefillSlotShare = 0.25
)

// IsLongPrompt reports whether a prompt is so long that a server should prefill only one such
// prompt at a time. Daemons leave the placement of these requests to the holder, which knows the
// long prompts in prefill on each server.
func IsLongPrompt(promptTokens int) bool { return promptTokens >= longPromptTokens }

// startPrefill records that a server begins the prefill of a request with a long prompt. The API
// client states the length of the prompt and may overstate it, so the prefill counts at most until
// the request's deadline.
func (s *server) startPrefill(request Request, now time.Time) {
	if !IsLongPrompt(request.PromptTokens) {
		return
	}
	s.prefillEnds = slices.DeleteFunc(s.prefillEnds, func(until time.Time) bool { return !now.Before(until) })
	until := request.Deadline
	if end := now.Add(prefillTime(request.PromptTokens)); end.Before(until) {
		until = end
	}
	s.prefillEnds = append(s.prefillEnds, until)
}

// maxPrefillTime bounds the prefill time of the length that a request states.
const maxPrefillTime = time.Hour

// prefillTime returns the approximate prefill time of a prompt.
func prefillTime(promptTokens int) time.Duration {
	if promptTokens >= int(maxPrefillTime/prefillTimePerToken) {
		return maxPrefillTime
	}
	return time.Duration(max(promptTokens, 0)) * prefillTimePerToken
}

// activePrefills returns the number of long prompts in prefill.
func (s *server) activePrefills(now time.Time) int {
	count := 0
	for _, until := range s.prefillEnds {
		if now.Before(until) {
			count++
		}
	}
	return count
}

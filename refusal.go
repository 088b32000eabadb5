package azurehitch

import (
	"fmt"
	"time"
)

// RunState says whether a request that got an error was run by a backend server.
type RunState string

// The run states.
const (
	RunStateNotRun  RunState = "NotRun"
	RunStateRun     RunState = "Run"
	RunStateUnknown RunState = "Unknown"
)

// RefusalCode is the stable code of a refusal.
type RefusalCode string

// The refusal codes. docs/api.md lists the status and meaning of each.
const (
	CodeInvalidRequest     RefusalCode = "invalid_request"
	CodeInvalidCredentials RefusalCode = "invalid_credentials"
	CodeRouteNotFound      RefusalCode = "route_not_found"
	CodeRateLimited        RefusalCode = "rate_limited"
	CodeOverloaded         RefusalCode = "overloaded"
	CodeDeadlineTooShort   RefusalCode = "deadline_too_short"
	CodeDeadlineExceeded   RefusalCode = "deadline_exceeded"
	CodeNoCapacity         RefusalCode = "no_capacity"
	CodeBackendFailed      RefusalCode = "backend_failed"
	CodeDuplicateRequest   RefusalCode = "duplicate_request"
	CodeLogUnavailable     RefusalCode = "log_unavailable"
	CodeNotConfigured      RefusalCode = "not_configured"
	CodeDraining           RefusalCode = "draining"
)

// ErrRefused is the final answer to a request that is not answered by a backend
// server.
type ErrRefused struct {
	Code RefusalCode
	Run  RunState
	// RetryAfter is when to come back. Zero means that a retry is of no use.
	RetryAfter time.Duration
	Reason     string
}

// Error implements error.
func (e *ErrRefused) Error() string {
	return fmt.Sprintf("%s (%s): %s", e.Code, e.Run, e.Reason)
}

// WithRetryAfter returns a copy that tells when to come back.
func (e ErrRefused) WithRetryAfter(d time.Duration) *ErrRefused {
	e.RetryAfter = d
	return &e
}

// Refuse returns a refusal of a request that was not run.
func Refuse(code RefusalCode, format string, args ...any) *ErrRefused {
	return &ErrRefused{Code: code, Run: RunStateNotRun, Reason: fmt.Sprintf(format, args...)}
}

package azurehitch

import (
	"fmt"
	"time"
)

// RunState says whether a backend server ran a request that ended with an error.
type RunState string

// The run states.
const (
	RunStateNotRun  RunState = "NotRun"
	RunStateRun     RunState = "Run"
	RunStateUnknown RunState = "Unknown"
)

// RefusalCode is the stable code of a refusal in the API.
type RefusalCode string

// The refusal codes. docs/api.md lists the HTTP status and the meaning of each.
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
	CodeQuarantined        RefusalCode = "quarantined"
	CodeAllowanceExceeded  RefusalCode = "allowance_exceeded"
	CodeConfigurationStale RefusalCode = "configuration_stale"
)

// ErrRefused is the daemon's final answer to a request that no backend server has answered.
type ErrRefused struct {
	Code RefusalCode
	Run  RunState
	// RetryAfter is how long the caller should wait before a retry; 0 means that a retry is of no
	// use.
	RetryAfter time.Duration
	Reason     string
}

// Error implements error.
func (e *ErrRefused) Error() string {
	return fmt.Sprintf("%s (%s): %s", e.Code, e.Run, e.Reason)
}

// WithRetryAfter returns a copy that asks the caller to retry after d.
func (e ErrRefused) WithRetryAfter(d time.Duration) *ErrRefused {
	e.RetryAfter = d
	return &e
}

// Refuse returns the refusal of a request that was not run. The reason is formatted as by
// fmt.Sprintf.
func Refuse(code RefusalCode, format string, args ...any) *ErrRefused {
	return &ErrRefused{Code: code, Run: RunStateNotRun, Reason: fmt.Sprintf(format, args...)}
}

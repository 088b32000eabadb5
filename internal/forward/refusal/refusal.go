// Package refusal encodes refusals as HTTP error responses.
//
// # Usage
//
//	status := refusal.Status(refused.Code)
//	body := refusal.Encode(refused)
package refusal

import (
	"encoding/json"

	"azurehitch"

	"github.com/valyala/fasthttp"
)

// ContentType is the content type of an encoded refusal.
const ContentType = "application/json"

// errorBody is an error response in the format that model clients expect, plus the run state.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string              `json:"message"`
	Type    string              `json:"type"`
	Code    string              `json:"code"`
	Param   *string             `json:"param"`
	Run     azurehitch.RunState `json:"run"`
}

var statuses = map[azurehitch.RefusalCode]int{
	azurehitch.CodeInvalidRequest:     fasthttp.StatusBadRequest,
	azurehitch.CodeInvalidCredentials: fasthttp.StatusUnauthorized,
	azurehitch.CodeRouteNotFound:      fasthttp.StatusNotFound,
	azurehitch.CodeRateLimited:        fasthttp.StatusTooManyRequests,
	azurehitch.CodeOverloaded:         fasthttp.StatusTooManyRequests,
	azurehitch.CodeDeadlineTooShort:   fasthttp.StatusServiceUnavailable,
	azurehitch.CodeDeadlineExceeded:   fasthttp.StatusGatewayTimeout,
	azurehitch.CodeNoCapacity:         fasthttp.StatusServiceUnavailable,
	azurehitch.CodeBackendFailed:      fasthttp.StatusBadGateway,
	azurehitch.CodeDuplicateRequest:   fasthttp.StatusConflict,
	azurehitch.CodeLogUnavailable:     fasthttp.StatusServiceUnavailable,
	azurehitch.CodeNotConfigured:      fasthttp.StatusServiceUnavailable,
	azurehitch.CodeDraining:           fasthttp.StatusServiceUnavailable,
	azurehitch.CodeQuarantined:        fasthttp.StatusServiceUnavailable,
	azurehitch.CodeAllowanceExceeded:  fasthttp.StatusTooManyRequests,
	azurehitch.CodeConfigurationStale: fasthttp.StatusServiceUnavailable,
}

// Status returns the HTTP status of a refusal code, and 0 for an unknown code.
func Status(code azurehitch.RefusalCode) int { return statuses[code] }

// errorType returns the error type that model clients expect for an HTTP status.
func errorType(status int) string {
	switch {
	case status == fasthttp.StatusUnauthorized:
		return "authentication_error"
	case status == fasthttp.StatusTooManyRequests:
		return "rate_limit_error"
	case status < fasthttp.StatusInternalServerError:
		return "invalid_request_error"
	}
	return "server_error"
}

// Encode returns the JSON body of a refusal.
func Encode(refused *azurehitch.ErrRefused) []byte {
	status := Status(refused.Code)
	body, err := json.Marshal(errorBody{Error: errorDetail{
		Message: refused.Reason, Type: errorType(status), Code: string(refused.Code), Run: refused.Run,
	}})
	if err != nil {
		return []byte(`{"error":{"message":"internal","type":"server_error"}}`)
	}
	return body
}

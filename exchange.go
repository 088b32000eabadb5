package azurehitch

import "time"

// Header is the set of HTTP header fields of a request or a response.
type Header interface {
	// Get returns the value of a field, or an empty string if the field is absent.
	Get(name string) string
	// Values returns the values of all fields with a name, in order.
	Values(name string) []string
	Set(name, value string)
	Delete(name string)
}

// CallerRequest holds what a daemon reads from the header of a request that it forwards.
type CallerRequest struct {
	// ID identifies this attempt of the caller.
	ID string
	// LastEvent is the ID of the last event that the caller has of a stream which it takes up again;
	// empty for a new request. Resumes is the ID of the request that brought the first event of that
	// stream.
	LastEvent string
	Resumes   string
	// TimeLeft is how long the caller still waits; 0 means unknown.
	TimeLeft time.Duration
	Model    string
	// Adapter is empty if the request is for the model itself.
	Adapter string
	// SharedParts identify the parts of the prompt before the last one, in order. Other requests have
	// them in their prompts too.
	SharedParts []string
	// Session identifies the last part of the prompt, which belongs to one session or subject of the
	// caller.
	Session string
	// PromptTokens and MaxOutputTokens are the size of a generation in tokens; 0 means unknown.
	PromptTokens    int
	MaxOutputTokens int
	// Credential is the API key of the caller.
	Credential Credential
}

// Attempt holds what a daemon adds to the header of a request that it sends to a backend server.
type Attempt struct {
	Server ServerIdentity
	// TimeLeft is the time until the caller no longer needs the response.
	TimeLeft time.Duration
	// Urgency is the priority rank from 0, the most urgent, to 9. If it is negative, it is not sent.
	Urgency int
	// LastEvent is the ID of the last event that the caller has received; empty if there is none.
	LastEvent string
	// HasAccounts is true if the configuration has accounts. The credentials of the caller and its own
	// statement of an account are then removed. Account is the name of the account that the server is sent;
	// empty sends none.
	HasAccounts bool
	Account     string
}

// ServerAnswer holds what a daemon reads from the header of a server's response.
type ServerAnswer struct {
	// ID is the CallerRequest.ID of the request that the server responds to.
	ID string
	// NotRun is true if the server states that it did not run the request.
	NotRun bool
	// Signed is true if the response has the header field with the server's signature.
	Signed bool
	// Encoded is true if the response has a Content-Encoding field. Servers send bodies without one,
	// so something else has changed the body on its way.
	Encoded bool
	// KeepAlive is how long the server keeps an idle connection open; 0 means unknown.
	KeepAlive time.Duration
	ServerNotice
}

// ExchangeProtocol reads and writes the header fields of forwarded requests and their responses.
type ExchangeProtocol interface {
	ReadRequest(header Header) CallerRequest
	// WriteAttempt turns a copy of the caller's header into the header of an attempt.
	WriteAttempt(header Header, attempt Attempt)
	ReadAnswer(header Header) ServerAnswer
	// WriteRefusal completes the header of a response in which the daemon itself refuses a request.
	// If retryAfter is 0, it writes no retry time.
	WriteRefusal(header Header, request CallerRequest, retryAfter time.Duration)
}

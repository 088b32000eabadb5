package azurehitch

import "crypto/sha256"

// MaxKeyBytes is the length of the longest API key that an account can have. It bounds the time to hash a
// key that a caller has sent.
const MaxKeyBytes = 4096

// KeyHash is the SHA-256 digest of an API key. Keys are kept as digests only.
type KeyHash [sha256.Size]byte

// HashKey returns the digest of a key.
func HashKey(key []byte) KeyHash { return sha256.Sum256(key) }

// AllowanceUnit is the unit in which an allowance counts requests.
type AllowanceUnit string

// The units of allowances.
const (
	AllowanceUnitRequests AllowanceUnit = "Requests"
	AllowanceUnitTokens   AllowanceUnit = "Tokens"
)

// Allowance is the rate limit of an account, which applies to all daemons together.
type Allowance struct {
	Unit AllowanceUnit
	// PerSecond is the sustained rate and Burst what may be used at once beyond it. If PerSecond is 0, the
	// account has no limit.
	PerSecond float64
	Burst     float64
	// DefaultCost is the cost of a request that doesn't declare its tokens, where the unit is tokens.
	DefaultCost int
	// Invalid says why the entry of the allowance can't be applied; empty if it can. All requests of the
	// account are refused then.
	Invalid string
}

// IsLimited reports whether requests are charged to the allowance.
func (a Allowance) IsLimited() bool { return a.PerSecond > 0 }

// Cost returns the cost of a request in the unit of the allowance. It is never less than 1: a caller that
// declares no prompt, or numbers that can't be read, pays the default at least.
func (a Allowance) Cost(request CallerRequest) float64 {
	if a.Unit != AllowanceUnitTokens {
		return 1
	}
	cost := float64(request.PromptTokens) + float64(request.MaxOutputTokens)
	if request.PromptTokens <= 0 || request.MaxOutputTokens < 0 {
		cost = max(cost, float64(a.DefaultCost))
	}
	return max(cost, 1)
}

// ClientAccount is a customer whose requests are authenticated by API keys.
type ClientAccount struct {
	Name string
	// Priority is the rank of the account among the accounts; 0 is the most urgent. It has a meaning only if
	// HasPriority is true.
	Priority    int
	HasPriority bool
	Allowance   Allowance
}

// AccountEntry is an entry of a routing table's list of accounts. An entry without a name or without keys
// grants nothing.
type AccountEntry struct {
	ClientAccount
	// Position is the number of the entry in the list, from 0.
	Position int
	Keys     []KeyHash
	// Faults say what is wrong with the entry, without any key.
	Faults []string
}

// CredentialFault says why a request has no usable key.
type CredentialFault string

// The faults of credentials.
const (
	CredentialMissing     CredentialFault = "Missing"
	CredentialRepeated    CredentialFault = "Repeated"
	CredentialOtherScheme CredentialFault = "OtherScheme"
	CredentialEmpty       CredentialFault = "Empty"
	CredentialTooLong     CredentialFault = "TooLong"
	CredentialUnknown     CredentialFault = "Unknown"
	// CredentialShared is the fault of a key that several accounts have.
	CredentialShared CredentialFault = "Shared"
)

// Credential is the API key of a request. It is formatted without the key.
type Credential struct {
	// Key is empty if Fault says why there is none.
	Key   string
	Fault CredentialFault
}

// String returns the fault, and never the key.
func (c Credential) String() string {
	if c.Fault != "" {
		return string(c.Fault)
	}
	return "redacted"
}

// GoString is String: a key must not appear in the output of %#v either.
func (c Credential) GoString() string { return c.String() }

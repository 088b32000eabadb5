package passthrough

import (
	"time"

	"azurehitch"
	"azurehitch/internal/forward/router"
)

const (
	// authenticationScheme is named in answers to requests without a valid key.
	authenticationScheme = "Bearer"
	// staleRetryAfter is the retry delay while this daemon can't confirm the keys. Other daemons may be able to.
	staleRetryAfter = 500 * time.Millisecond
	// invalidAllowanceRetryAfter is the retry delay of an account whose limit can't be applied. Only the
	// operators can correct it.
	invalidAllowanceRetryAfter = 10 * time.Second
)

// authenticate sets the account of the request. It runs after matchRoute, so that a request without a route is
// refused as such whatever its key. The error is an *azurehitch.ErrRefused.
func (r *request) authenticate(index *router.PathIndex) error {
	r.hasAccounts = index.Accounts.HasEntries()
	// The key is not needed any more, and it must reach neither other daemons nor log lines.
	credential := r.Credential
	r.Credential = azurehitch.Credential{}
	if !r.hasAccounts || r.route.Public {
		return nil
	}
	if r.isConfigurationStale() {
		return azurehitch.Refuse(azurehitch.CodeConfigurationStale, "the keys have not been confirmed for too long").WithRetryAfter(staleRetryAfter)
	}
	if credential.Fault != "" {
		return invalidCredentials(credential.Fault)
	}
	account, ok := index.Accounts.Lookup([]byte(credential.Key))
	if !ok {
		return invalidCredentials(azurehitch.CredentialUnknown)
	}
	r.account = account
	return nil
}

func invalidCredentials(fault azurehitch.CredentialFault) error {
	return azurehitch.Refuse(azurehitch.CodeInvalidCredentials, "no valid API key: %s", fault)
}

// isConfigurationStale reports whether a key may have been revoked without this daemon knowing it, where
// requests are to be refused then.
func (r *request) isConfigurationStale() bool {
	most := r.server.settings.MaxConfigurationAge
	return most > 0 && r.server.ConfigurationAge() > most
}

// takeAllowance charges the request to the allowance of its account. The error is an *azurehitch.ErrRefused.
func (r *request) takeAllowance() error {
	allowance := r.account.Allowance
	if allowance.Invalid != "" {
		return azurehitch.Refuse(azurehitch.CodeAllowanceExceeded, "the allowance of account %s %s", r.account.Name, allowance.Invalid).
			WithRetryAfter(invalidAllowanceRetryAfter)
	}
	if !allowance.IsLimited() || r.server.Allowances == nil {
		return nil
	}
	refund, err := r.server.Allowances.Take(r.searchCtx, r.account, allowance.Cost(r.CallerRequest))
	r.refundAllowance = refund
	return err
}

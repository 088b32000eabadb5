package passthrough

import (
	"time"

	"azurehitch"
	"azurehitch/internal/forward/router"
	"azurehitch/internal/telemetry/metrics"

	"github.com/phuslu/log"
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
		return r.invalidCredentials(credential.Fault)
	}
	key := []byte(credential.Key)
	account, ok := index.Accounts.Lookup(key)
	if !ok {
		return r.invalidCredentials(index.Accounts.Fault(key))
	}
	r.account = account
	return nil
}

func (r *request) invalidCredentials(fault azurehitch.CredentialFault) error {
	r.server.Metrics.AddLabeled(metrics.CredentialsRefused, string(fault), 1)
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
		return azurehitch.Refuse(azurehitch.CodeAllowanceExceeded, "the entry of the account %s", allowance.Invalid).
			WithRetryAfter(invalidAllowanceRetryAfter)
	}
	if r.account.Name == "" {
		return nil
	}
	cost, refund := allowance.Cost(r.CallerRequest), func() {}
	if allowance.IsLimited() && r.server.Allowances != nil {
		var err error
		if refund, err = r.server.Allowances.Take(r.searchCtx, r.account, cost); err != nil {
			return err
		}
	}
	r.countUnits(metrics.AccountUnitsTaken, cost)
	r.refundAllowance = func() {
		refund()
		r.countUnits(metrics.AccountUnitsRefunded, cost)
	}
	return nil
}

func (r *request) countUnits(name metrics.Name, cost float64) {
	r.server.Metrics.AddForAccount(name, r.account.Name, "", int64(cost))
}

// recordRefusal refunds the allowance of a request that was not run, and counts the refusal.
func (r *request) recordRefusal(refused *azurehitch.ErrRefused) {
	r.refusalCode = refused.Code
	if refused.Run == azurehitch.RunStateNotRun && r.refundAllowance != nil {
		r.refundAllowance()
	}
	if r.account.Name != "" {
		r.server.Metrics.AddForAccount(metrics.AccountRequestsRefused, r.account.Name, string(refused.Code), 1)
	}
}

// recordServed counts a complete answer.
func (r *request) recordServed(reason string) {
	if r.account.Name != "" && reason == answeredReason {
		r.server.Metrics.AddForAccount(metrics.AccountRequestsServed, r.account.Name, "", 1)
	}
}

// logAccount adds the account to the log line of the request and, for a refusal because of the account, what the
// daemon knew about it. The line never has a key.
func (r *request) logAccount(line *log.Entry) *log.Entry {
	line = line.Str("Account", r.account.Name)
	switch r.refusalCode {
	case azurehitch.CodeInvalidCredentials, azurehitch.CodeConfigurationStale:
		return line.Str("Code", string(r.refusalCode)).Dur("ConfigurationAge", r.server.ConfigurationAge())
	case azurehitch.CodeAllowanceExceeded:
		allowance := r.account.Allowance
		return line.Str("Code", string(r.refusalCode)).Dur("ConfigurationAge", r.server.ConfigurationAge()).
			Str("AllowanceUnit", string(allowance.Unit)).Float64("AllowancePerSecond", allowance.PerSecond).
			Float64("AllowanceBurst", allowance.Burst).Float64("Cost", allowance.Cost(r.CallerRequest))
	}
	return line
}

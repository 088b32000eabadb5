package soak_test

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"azurehitch"
	"azurehitch/platform/platformtest"
)

const (
	// steadyKey is in every table, and unknownKey in none.
	steadyKey  = "steady-key"
	unknownKey = "unknown-key"
	// rotatingAccount has a key of its own in each table, which the next table revokes.
	rotatingAccount = "rotating"
	steadyAccount   = "steady"
	// keyRoute is the route on which callers use keys that may be revoked.
	keyRoute = "lookup"
	// revokedKeys is the number of keys that callers still use after they were revoked.
	revokedKeys = 3
	// revokeTime is shorter than the longest faults.
	revokeTime = 3 * time.Second
)

func rotatingKey(n int) string { return fmt.Sprintf("rotating-key-%d", n) }

// accounts returns the accounts of the last table; none unless the setup has accounts. The caller holds the mutex.
func (cl *cluster) accounts() []platformtest.Account {
	if !cl.setup.hasAccounts {
		return nil
	}
	return []platformtest.Account{
		{ClientAccount: azurehitch.ClientAccount{Name: steadyAccount}, Keys: []string{steadyKey}},
		{ClientAccount: azurehitch.ClientAccount{Name: rotatingAccount, Priority: 1, HasPriority: true}, Keys: []string{rotatingKey(cl.probe)}},
	}
}

// keysOf returns the names of accounts by key.
func keysOf(accounts []platformtest.Account) map[string]string {
	keys := map[string]string{}
	for _, account := range accounts {
		for _, key := range account.Keys {
			keys[key] = account.Name
		}
	}
	return keys
}

// nextKey returns the key of the next request; empty if the setup has no accounts.
func (c *caller) nextKey(route azurehitch.PathRoute) string {
	if !c.cluster.setup.hasAccounts {
		return ""
	}
	if route.Name != keyRoute {
		return steadyKey
	}
	added, _ := c.cluster.probes()
	revoked := rotatingKey(max(added-1-c.random.IntN(revokedKeys), 0))
	last := rotatingKey(int(c.cluster.lastKeyInTouch.Load()))
	return []string{rotatingKey(added), last, last, last, revoked, unknownKey}[c.random.IntN(6)]
}

// checkAccount checks that a request runs under the name of the account whose key it had, and that the key does not
// reach the server. The caller holds the mutex.
func (c *checker) checkAccount(x exchange, run platformtest.Run) {
	if x.Key == "" {
		return
	}
	var names []string
	for _, published := range c.tables {
		if name, ok := published.keys[x.Key]; ok {
			names = []string{name}
		}
	}
	if run.HasCredentials || len(names) == 0 || !slices.Equal(run.Accounts, names) {
		c.addViolation(ruleKeys, "%s ran %s with key %s as the accounts %q (credentials: %t)", run.Server.ID, x.ID, x.Key, run.Accounts, run.HasCredentials)
	}
}

// checkKey checks that a request was served or refused according to a table that may be in force. A key that all
// tables have is never refused, whatever the faults; a fault of the store or the daemon excuses the rest. The
// caller holds the mutex.
func (c *checker) checkKey(x exchange, isHealthy bool) {
	isRefused := x.answer.Status == http.StatusUnauthorized
	if isRefused && (x.Key == "" || x.Key == steadyKey) {
		c.addViolation(ruleKeys, "%s with key %s was refused by daemon-%d as unauthorized", x.ID, x.Key, x.daemon)
	}
	isServed := x.answer.Status < http.StatusMultipleChoices
	if since := c.revokedFor(x); isServed && c.setup.revokeTime > 0 && since > c.setup.revokeTime {
		c.addViolation(ruleKeys, "%s with key %s was served by daemon-%d %v after the key was revoked", x.ID, x.Key, x.daemon, since)
	}
	if x.Key == "" || !isHealthy || !isRefused && !isServed || !c.disturbances.isStoreHealthy(x.sentAt, x.endedAt) {
		return
	}
	isKnown, isUnknown := false, false
	for _, published := range c.tablesDuring(x) {
		_, ok := published.keys[x.Key]
		isKnown, isUnknown = isKnown || ok, isUnknown || !ok
	}
	if isServed && !isKnown {
		c.addViolation(ruleKeys, "%s with key %s was served by daemon-%d after the key was revoked", x.ID, x.Key, x.daemon)
	}
	if isRefused && !isUnknown {
		c.addViolation(ruleKeys, "%s with key %s was refused by daemon-%d although it is in force", x.ID, x.Key, x.daemon)
	}
}

// revokedFor returns the time from the acknowledgement of the table that revoked a key to its request; 0 if it was
// not revoked. The caller holds the mutex.
func (c *checker) revokedFor(x exchange) time.Duration {
	wasKnown := false
	for _, published := range c.tables {
		_, ok := published.keys[x.Key]
		if wasKnown && !ok && !published.ackedAt.IsZero() {
			return max(x.sentAt.Sub(published.ackedAt), 0)
		}
		wasKnown = wasKnown || ok
	}
	return 0
}

// revocationOutOfTouch returns faults in which a key is revoked while two daemons don't reach the store for longer than
// revokeTime.
func revocationOutOfTouch(seed uint64, duration time.Duration) []action {
	const refuses = 2
	at, target := duration/3, int(seed)
	link := fault{name: "link to the store", inject: injectStoreLinkFault}
	revoke := fault{name: "configuration change", inject: func(cl *cluster, a action) {
		added, _ := cl.probes()
		cl.lastKeyInTouch.Store(int64(added))
		injectConfigurationChange(cl, a)
	}}
	return []action{
		{fault: link, startsAt: at, duration: 3 * revokeTime, target: target, variant: refuses},
		{fault: link, startsAt: at, duration: 3 * revokeTime, target: target + 1, variant: refuses},
		{fault: revoke, startsAt: at + 300*time.Millisecond, duration: minFaultDuration},
	}
}

// TestKeysUnderFaults guards against revoked keys that are served, keys in force that are refused and keys that
// reach servers, under all faults. In two of three seeds, daemons out of touch refuse keys, so that a revoked key is served
// nowhere after that time. Without -soak.seeds, it makes one short run.
func TestKeysUnderFaults(t *testing.T) {
	seeds, duration := freshSeeds(), *soakDuration
	if len(seeds) == 0 {
		seeds, duration = []uint64{shortSeed}, shortDuration
	}
	runSeeds(t, seeds, func(t *testing.T, seed uint64) {
		s, plan := defaultSetup(), newPlan(seed, duration)
		s.hasAccounts = true
		if seed%3 != 2 {
			s.revokeTime = revokeTime
			plan = append(plan, revocationOutOfTouch(seed, duration)...)
		}
		// Each change of the configuration revokes a key.
		random := newRandom(seed, 9)
		for at := firstFaultDelay; at < duration; at += between(random, 2*minFaultDuration, 2*maxFaultDuration) {
			plan = append(plan, action{
				fault: fault{name: "configuration change", inject: injectConfigurationChange}, startsAt: at, duration: minFaultDuration, variant: random.IntN(4),
			})
		}
		runSetup(t, seed, plan, s)
	})
}

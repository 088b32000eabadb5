// Package directory finds client accounts by their API keys.
//
// # Usage
//
//	index := directory.New(table.Accounts)
//	account, ok := index.Lookup(key)
//
// An Index is immutable and belongs to one routing table.
package directory

import (
	"cmp"
	"slices"

	"azurehitch"
)

// Index finds accounts by the digests of their keys. It is immutable.
type Index struct {
	hasEntries bool
	accounts   map[azurehitch.KeyHash]*azurehitch.ClientAccount
	// shared holds the keys that several accounts have.
	shared map[azurehitch.KeyHash]bool
	sorted []azurehitch.ClientAccount
	faults []Fault
}

// Fault is a reason why an entry does not grant what it states. It holds no key.
type Fault struct {
	// Position is the number of the entry in its list, from 0, and Account its name, which may be empty.
	Position int
	Account  string
	Reason   string
}

// New returns the index of a list of entries. A key that entries with different names have belongs to none of
// them, whether these entries are usable or not. Entries with the same name are one account; if they differ in
// priority or limit, all requests of the account are refused.
func New(entries []azurehitch.AccountEntry) *Index {
	x := &Index{
		hasEntries: len(entries) > 0, accounts: map[azurehitch.KeyHash]*azurehitch.ClientAccount{}, shared: map[azurehitch.KeyHash]bool{},
	}
	byName := x.merge(entries)
	owners := map[azurehitch.KeyHash]azurehitch.AccountEntry{}
	for _, e := range entries {
		for _, key := range e.Keys {
			owner, isTaken := owners[key]
			if isTaken && !isSameAccount(owner, e) {
				x.shared[key] = true
				x.fault(e, "has a key that another account has too: it belongs to neither")
			}
			owners[key] = e
		}
	}
	for key, e := range owners {
		if account := byName[e.Name]; account != nil && !x.shared[key] {
			x.accounts[key] = account
		}
	}
	for _, account := range byName {
		x.sorted = append(x.sorted, *account)
	}
	slices.SortFunc(x.sorted, func(a, b azurehitch.ClientAccount) int { return cmp.Compare(a.Name, b.Name) })
	return x
}

// isSameAccount reports whether two entries are for the same account. Entries without a name are each their own.
func isSameAccount(a, b azurehitch.AccountEntry) bool {
	return a.Position == b.Position || a.Name != "" && a.Name == b.Name
}

// merge returns the accounts of the entries that have a name and keys, and records the faults of the entries.
func (x *Index) merge(entries []azurehitch.AccountEntry) map[string]*azurehitch.ClientAccount {
	byName := map[string]*azurehitch.ClientAccount{}
	for _, e := range entries {
		for _, reason := range e.Faults {
			x.fault(e, reason)
		}
		if e.Name == "" || len(e.Keys) == 0 {
			continue
		}
		account := e.ClientAccount
		if first := byName[e.Name]; first != nil && *first != account {
			x.fault(e, "differs from another entry of the same name")
			account.Allowance = azurehitch.Allowance{Unit: account.Allowance.Unit, Invalid: "two entries of the account differ"}
		}
		byName[e.Name] = &account
	}
	return byName
}

func (x *Index) fault(e azurehitch.AccountEntry, reason string) {
	x.faults = append(x.faults, Fault{Position: e.Position, Account: e.Name, Reason: reason})
}

// Lookup returns the account that has a key. It allocates nothing.
func (x *Index) Lookup(key []byte) (azurehitch.ClientAccount, bool) {
	if len(key) == 0 || len(key) > azurehitch.MaxKeyBytes {
		return azurehitch.ClientAccount{}, false
	}
	account, ok := x.accounts[azurehitch.HashKey(key)]
	if !ok {
		return azurehitch.ClientAccount{}, false
	}
	return *account, true
}

// Fault says why Lookup finds no account for a key.
func (x *Index) Fault(key []byte) azurehitch.CredentialFault {
	if x.shared[azurehitch.HashKey(key)] {
		return azurehitch.CredentialShared
	}
	return azurehitch.CredentialUnknown
}

// HasEntries reports whether the list has any entry, usable or not. Requests then need a key.
func (x *Index) HasEntries() bool { return x.hasEntries }

// Accounts returns the usable accounts in the order of their names.
func (x *Index) Accounts() []azurehitch.ClientAccount { return slices.Clone(x.sorted) }

// Faults returns the faults of the entries.
func (x *Index) Faults() []Fault { return slices.Clone(x.faults) }

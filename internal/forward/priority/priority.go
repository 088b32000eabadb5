// Package priority defines the order of requests by urgency.
//
// # Usage
//
//	rank := priority.Rank(account, route.Priority)
//
// The same rank applies at daemons, in the grants of holders and in what servers are sent.
package priority

import "azurehitch"

const (
	// Lowest is the rank of the least urgent requests; 0 is that of the most urgent.
	Lowest = 9
	// routesPerAccount is the number of route priorities that are told apart within one account priority. With
	// it, the ten ranks hold three account priorities in full and one more rank for all others.
	routesPerAccount = 3
)

// Rank returns the rank of a request from the priority of its account and that of its route. The account counts
// first and the route second, as far as the ranks suffice. Without a priority of the account, the rank is that
// of the route.
func Rank(account azurehitch.ClientAccount, route int) int {
	if !account.HasPriority {
		return min(max(route, 0), Lowest)
	}
	// The account's priority is bounded first, since the product of a large one overflows.
	first := min(max(account.Priority, 0), Lowest) * routesPerAccount
	return min(first+min(max(route, 0), routesPerAccount-1), Lowest)
}

// Package daemonrank ranks daemons for a key by rendezvous hashing: all daemons compute the same order,
// and the daemons that come or go change nothing for the others.
//
// # Usage
//
//	if daemonrank.Index("server-1", self, daemons) == 0 { ... }
package daemonrank

import "github.com/cespare/xxhash/v2"

// Weight returns the weight of a daemon for a key. Daemons with a higher weight come first.
func Weight(key, daemon string) uint64 { return xxhash.Sum64String(key + "\x00" + daemon) }

// Index returns the number of other daemons that come before self in the ranking of a key.
func Index(key, self string, daemons []string) int {
	own, index := Weight(key, self), 0
	for _, daemon := range daemons {
		if daemon != self && Weight(key, daemon) > own {
			index++
		}
	}
	return index
}

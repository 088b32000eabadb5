// Package soak plays random faults against real processes of the gateway, and checks what
// callers and backend servers see.
//
// # Usage
//
//	go test ./internal/proof/soak
//	go test ./internal/proof/soak -run TestFreshSeeds -args -soak.seeds 50 -soak.duration 20s
//	go test ./internal/proof/soak -run TestRegressions -args -soak.regressions
//
// A run starts the daemons as processes of their own, behind relays on loopback: one from
// the callers to each daemon, one from the others to each daemon, one from each daemon to
// the store, one to each backend server. The store and the servers are stand-ins in the
// process of the test, so that what they see is known even when a daemon is killed.
//
// A seed gives the plan of a run: which faults come when, for how long, and to whom. Faults
// overlap. They are those of processes (planned stop, kill, freeze, changed settings), of
// links (delay, reset, silence, one way), of the store and of servers. After the last, all
// is healed, and the run ends when each daemon serves each kind of request again.
//
// Clocks are not disturbed: no process can shift the clock of another.
package soak

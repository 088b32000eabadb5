// Package soak runs real gateway processes under random faults and checks what callers and
// backend servers observe.
//
// # Usage
//
//	go test ./internal/proof/soak
//	go test ./internal/proof/soak -run TestFreshSeeds -args -soak.seeds 50 -soak.duration 20s
//	go test ./internal/proof/soak -run TestPlannedStopCutsAnswers -args -soak.seeds 50 -soak.daemons 9
//	go test ./internal/proof/soak -run TestFreshSeedsWithTwoHolderTroubles -args -soak.seeds 50 -soak.other PROGRAM
//	go test ./internal/proof/soak -run TestFreshSeedsWithLateOrders -args -soak.seeds 20 -soak.late ReadAtOnce
//	go test ./internal/proof/soak -run TestRegressions -args -soak.regressions
//
// A run starts each daemon as a separate process behind relays on loopback: one from the callers
// to each daemon, one from the other daemons to each daemon, one from each daemon to the store
// and one to each backend server. The store and the servers are stand-ins in the test process, so
// the test still knows what they observed when a daemon is killed.
//
// The seed determines the plan of a run: the kind, start, duration and target of each fault.
// Faults may overlap. They affect processes (planned stop, kill, freeze, changed settings), links
// (delay, reset, stall, one way), the store and the servers. All faults end before the run does,
// and the run ends when each daemon serves each kind of request again.
//
// TestPlannedStopCutsAnswers has planned work only, with streams as long as the stop timeout, servers
// that pause and callers that follow up what was refused or cut. It takes the flags of TestFreshSeeds
// and -soak.daemons.
//
// TestFreshSeedsWithLateOrders changes the holder while its orders are in flight to silent servers, which ignore tokens.
// With -soak.late ReadLate or CarriedOutLate, servers read or carry out orders later than newer ones, which no
// holder can prevent in all cases: these runs measure how often.
//
// Planned work (a planned stop, a change of settings or of the configuration) must not fail any
// request. The lease holder of a service is the daemon that may order loads on its engines.
//
// That a service has one holder is checked at the servers, by each order that arrives: no two holders under one
// token, no lower token after a higher one, and no holder that orders a server again within the duration of a lease
// after another has. At servers that ignore tokens, orders that are rejected count too. After a run, the logs of
// the daemons must show equal folds of the leases. TestFreshSeedsWithTwoHolderTroubles has all faults that may lead
// to two holders.
//
// Clock faults are not covered: no process can shift the clock of another.
package soak

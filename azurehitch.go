// Package azurehitch holds the interfaces and shared value types of the serving
// system. It knows no transport: the packages below internal/ implement the
// interfaces over HTTP, yamux and the platform's append-only log.
//
// # Usage
//
// A daemon is assembled in internal/daemon/serve from one implementation of each
// interface:
//
//	log := httplog.NewClient(address)          // azurehitch.Log
//	hosts := httphosts.NewClient(address)      // azurehitch.HostList
//	engines := httpengine.NewDialer()          // azurehitch.EngineDialer
//	daemon, err := serve.New(settings, serve.Platform{Log: log, Hosts: hosts, Engines: engines})
//
// The decision code (the folds of the log, the pool planner) takes the time and
// events as arguments and returns new values, so that the daemon, the history
// tests and other drivers run the same code.
package azurehitch

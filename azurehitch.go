// Package azurehitch defines the interfaces and shared value types of the serving system. It does
// not depend on any transport: the packages in internal/ and platform/ implement the interfaces
// over HTTP, yamux and the platform's append-only log.
//
// # Usage
//
// The package internal/daemon/serve assembles a daemon from one implementation of each interface:
//
//	daemon, err := serve.New(settings, serve.Platform{
//		Log:     httplog.NewClient(address, name),     // azurehitch.Log
//		Hosts:   httphosts.NewClient(address, name),   // azurehitch.HostList
//		Weights: httpweights.NewClient(address, name), // azurehitch.WeightStore
//		Engines: httpengine.Dialer{Agent: name},       // azurehitch.EngineDialer
//		Clock:   azurehitch.SystemClock{},             // azurehitch.Clock
//		Logs:    logs,
//		Tracer:  tracer,
//	})
//
// The decision code (the folds of the log and the pool planner) takes the time and the events as
// arguments and returns new values, so that the daemon, the history tests and other drivers run
// the same code.
package azurehitch

// Package priority defines the order in which waiting requests are served.
//
// # Usage
//
//	slices.SortFunc(waiting, priority.Compare)
//
// The holder of a service and the daemons use the same order. It decides only between requests that wait for
// the same servers: while there is room, none waits.
package priority

// Package operator is the administration API and its client.
//
// # Usage
//
//	client := operator.NewClient("127.0.0.1:7200", key)
//	published, err := client.Publish(ctx, operator.Publication{Base: 7, Routes: routes, Pools: pools})
//
// The types of this file are the bodies of requests and answers. conversions.go builds them
// from the daemon's types. docs/admin-api.md describes each call.
package operator

import (
	"encoding/json"
	"fmt"
	"strings"

	"azurehitch"
)

// Publication is the body of a request to check or publish new tables.
type Publication struct {
	// Base is the version that the tables were edited from.
	Base int64
	// Routes and Pools are the new tables. An omitted table stays as it is in Base.
	Routes json.RawMessage `json:",omitempty"`
	Pools  json.RawMessage `json:",omitempty"`
	Author string
}

// Published is the answer to a publication that is in force.
type Published struct {
	Version int64
}

// Tables is the configuration in force.
type Tables struct {
	Version int64
	Author  string
	Routes  json.RawMessage
	Pools   json.RawMessage
}

// Mistake is one error in a table.
type Mistake struct {
	Place  string
	Reason string
}

// FailureCode is the stable code of a failed call.
type FailureCode string

// The failure codes.
const (
	FailureInvalidTables FailureCode = "InvalidTables"
	FailureConflict      FailureCode = "Conflict"
	// FailureUnreadable means that this release can't parse the tables in force.
	FailureUnreadable     FailureCode = "Unreadable"
	FailureLogUnavailable FailureCode = "LogUnavailable"
	// FailureOutcomeUnknown means that it is not known whether the publication is on the log:
	// read the configuration to find out.
	FailureOutcomeUnknown FailureCode = "Unsettled"
	FailureInvalidBody    FailureCode = "InvalidBody"
	FailureNotFound       FailureCode = "NotFound"
	FailureNotAuthorized  FailureCode = "NotAuthorized"
)

// Failure is the answer to a failed call.
type Failure struct {
	Code     FailureCode
	Reason   string
	Mistakes []Mistake `json:",omitempty"`
	// Current is the version in force, after a conflict or if its tables are unreadable.
	// CurrentAuthor is its author, after a conflict.
	Current       int64  `json:",omitempty"`
	CurrentAuthor string `json:",omitempty"`
}

// ErrFailure is the error of a call that the daemon answered with a Failure.
type ErrFailure struct {
	// Status is the HTTP status.
	Status int
	Failure
}

// Error implements error.
func (e *ErrFailure) Error() string {
	lines := []string{fmt.Sprintf("%s: %s", e.Code, e.Reason)}
	for _, m := range e.Mistakes {
		lines = append(lines, "  "+m.Place+": "+m.Reason)
	}
	return strings.Join(lines, "\n")
}

// DaemonStatus is the state of one daemon.
type DaemonStatus struct {
	Daemon      string
	Incarnation string
	// Reached is false if the daemon did not answer.
	Reached              bool
	ConfigurationVersion int64
	// FoldedTo is the offset of the last log record that the daemon has folded.
	FoldedTo           int64
	Draining           bool
	RequestsInProgress int64
	PoolsHeld          []string
}

// PoolStatus is the state of a pool as one daemon knows it.
type PoolStatus struct {
	Name        string
	Holder      string
	Incarnation string
	Token       int64
	// Running and Waiting are the numbers of requests at this daemon.
	Running int
	Waiting int
	// Held is set if this daemon holds the pool.
	Held *HeldPool `json:",omitempty"`
}

// HeldPool is the state of a pool as its holder knows it.
type HeldPool struct {
	LeaseValid bool
	// Waiting is the number of requests at all daemons that wait for a replica.
	Waiting int
	Servers []ServerStatus
}

// ServerStatus is the state of a backend server as the holder of its pool knows it.
type ServerStatus struct {
	Name    string
	Reached bool
	Leaving bool
	// Retired is true if the table no longer names the server, which may still hold replicas.
	Retired     bool
	Memory      azurehitch.ByteSize
	MemoryInUse azurehitch.ByteSize
	Replicas    []Replica
}

// Replica is a replica of an artifact on a backend server.
type Replica struct {
	Artifact string
	State    azurehitch.PlacementState
	Memory   azurehitch.ByteSize
	// Active is the number of requests in progress.
	Active int
}

// Package operator is the administration API and its client.
//
// # Usage
//
//	client := operator.NewClient("127.0.0.1:7200", key)
//	published, err := client.Publish(ctx, operator.Publication{Base: 7, Routes: routes, Pools: pools})
//
// The types of this file are the API. conversions.go makes them from the types
// of the daemon. docs/admin-api.md describes each call.
package operator

import (
	"encoding/json"
	"fmt"
	"strings"

	"azurehitch"
)

// Publication is a new version of the two tables.
type Publication struct {
	// Base is the version that it was edited from.
	Base int64
	// Routes and Pools are the new tables. One that is left out stays as it is.
	Routes json.RawMessage `json:",omitempty"`
	Pools  json.RawMessage `json:",omitempty"`
	Author string
}

// Published is the answer to a publication that came into force.
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

// Mistake is one thing wrong in a table.
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
	// FailureUnreadable means that this release can't read the tables in force.
	FailureUnreadable     FailureCode = "Unreadable"
	FailureLogUnavailable FailureCode = "LogUnavailable"
	// FailureUnsettled means that the publication may or may not be on the log:
	// show the configuration to see.
	FailureUnsettled     FailureCode = "Unsettled"
	FailureInvalidBody   FailureCode = "InvalidBody"
	FailureNotFound      FailureCode = "NotFound"
	FailureNotAuthorized FailureCode = "NotAuthorized"
)

// Failure is the answer to a failed call.
type Failure struct {
	Code     FailureCode
	Reason   string
	Mistakes []Mistake `json:",omitempty"`
	// Current and CurrentAuthor tell, on a conflict, which version is in force.
	Current       int64  `json:",omitempty"`
	CurrentAuthor string `json:",omitempty"`
}

// ErrFailure is a failed call.
type ErrFailure struct {
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

// DaemonStatus is what one daemon has in force.
type DaemonStatus struct {
	Daemon      string
	Incarnation string
	// Reached is false when the daemon did not answer.
	Reached              bool
	ConfigurationVersion int64
	FoldedTo             int64
	Draining             bool
	RequestsInProgress   int64
	PoolsHeld            []string
}

// PoolStatus is a pool as one daemon sees it.
type PoolStatus struct {
	Name        string
	Holder      string
	Incarnation string
	Token       int64
	// Running and Waiting are the requests of this daemon.
	Running int
	Waiting int
	// Held is set at the holder.
	Held *HeldPool `json:",omitempty"`
}

// HeldPool is what the holder of a pool counts.
type HeldPool struct {
	LeaseValid bool
	// Waiting is the requests at all daemons that wait for a replica.
	Waiting int
	Servers []ServerStatus
}

// ServerStatus is a backend server as the holder counts it.
type ServerStatus struct {
	Name    string
	Reached bool
	Leaving bool
	// Retired means that the table no longer names the server, which still counts.
	Retired     bool
	Memory      azurehitch.ByteSize
	MemoryInUse azurehitch.ByteSize
	Replicas    []Replica
}

// Replica is an artifact on a backend server.
type Replica struct {
	Artifact string
	State    azurehitch.PlacementState
	Memory   azurehitch.ByteSize
	Active   int
}

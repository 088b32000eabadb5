package quarantine

import (
	"time"

	"azurehitch"
)

// Part identifies a part of the prompts for a service.
type Part struct {
	Service string
	ID      string
}

// Suspect is a part in the prompt of a request that a server broke off when it crashed.
type Suspect struct {
	ID string
	// Position is the index of the part in the prompt.
	Position int
}

// Crash is the crash of one incarnation of a server.
type Crash struct {
	Server  azurehitch.ServerIdentity
	Service string
	// Age is the time since the crash.
	Age time.Duration
	// Suspects are the parts of the requests that the server may have begun to answer just then.
	Suspects []Suspect
}

// Clearance tells that requests with a part can be answered.
type Clearance struct {
	Part
	// Age is the time since such a request was answered.
	Age time.Duration
}

// Hold tells that requests with a part crash servers.
type Hold struct {
	Part
	// Age is the time since the last known crash.
	Age time.Duration
	// Trials is how many requests with the part were sent since it is held, to learn whether it
	// still crashes servers, and TrialAge the time since the last of them.
	Trials   int
	TrialAge time.Duration
	// WasAnswered is true if requests with the part were answered before it was held.
	WasAnswered bool
}

// Evidence is what daemons tell each other about crashes.
type Evidence struct {
	Crashes    []Crash
	Clearances []Clearance
	Holds      []Hold
}

// IsEmpty reports whether the evidence contains nothing.
func (e Evidence) IsEmpty() bool { return len(e.Crashes)+len(e.Clearances)+len(e.Holds) == 0 }

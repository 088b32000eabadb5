package quarantine

import (
	"time"

	"azurehitch"
)

// Kind says what a Subject is.
type Kind string

// The kinds of subjects.
const (
	// KindPart is a part of prompts, which many requests may have.
	KindPart Kind = "Part"
	// KindRequest is one request, which its caller may send again and again.
	KindRequest Kind = "Request"
)

// Subject is what may crash the servers of a service: requests with a part in their prompts, or one request.
type Subject struct {
	Kind    Kind
	Service string
	// ID is that of the part, or the fingerprint of the request.
	ID string
}

// Request is what a Tracker knows of a request.
type Request struct {
	Service string
	// Fingerprint is the same for all tries of a request and different for other requests; empty if unknown.
	Fingerprint string
	// Parts are those in the prompt that other requests may have too, in order.
	Parts []string
}

// suspects returns the subjects that the request may crash a server by.
func (r Request) suspects() []Suspect {
	var suspects []Suspect
	if r.Fingerprint != "" {
		suspects = append(suspects, Suspect{Kind: KindRequest, ID: r.Fingerprint})
	}
	for i, id := range r.Parts[:min(len(r.Parts), maxPartsOfRequest)] {
		suspects = append(suspects, Suspect{Kind: KindPart, ID: id, Position: i})
	}
	return suspects
}

// Suspect is a subject of a request that a server broke off when it crashed.
type Suspect struct {
	Kind Kind
	ID   string
	// Position is the index of a part in the prompt.
	Position int
}

// subject returns the suspect as a subject of a service.
func (s Suspect) subject(service string) Subject {
	return Subject{Kind: s.Kind, Service: service, ID: s.ID}
}

// Crash is the crash of one incarnation of a server.
type Crash struct {
	Server  azurehitch.ServerIdentity
	Service string
	// Age is the time since the crash.
	Age time.Duration
	// Suspects are the subjects of the requests that the server may have begun to answer just then.
	Suspects []Suspect
}

// Clearance says that a subject can be answered.
type Clearance struct {
	Subject
	// Age is the time since it was answered.
	Age time.Duration
}

// Hold says that a subject crashes servers.
type Hold struct {
	Subject
	// Age is the time since the last known crash.
	Age time.Duration
	// Trials is how many requests of the subject were sent since it is held, to learn whether it
	// still crashes servers, and TrialAge the time since the last of them.
	Trials   int
	TrialAge time.Duration
	// WasAnswered is true if requests of the subject were answered before it was held.
	WasAnswered bool
}

// Evidence is what daemons report to each other about crashes.
type Evidence struct {
	Crashes    []Crash
	Clearances []Clearance
	Holds      []Hold
}

// IsEmpty reports whether the evidence contains nothing.
func (e Evidence) IsEmpty() bool { return len(e.Crashes)+len(e.Clearances)+len(e.Holds) == 0 }

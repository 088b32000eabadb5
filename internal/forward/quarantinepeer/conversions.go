package quarantinepeer

import (
	"time"

	"azurehitch"
	"azurehitch/internal/forward/quarantine"
	"azurehitch/internal/peer/peerpb"
)

func evidenceToProto(e quarantine.Evidence) *peerpb.CrashEvidence {
	message := &peerpb.CrashEvidence{}
	for _, c := range e.Crashes {
		message.Crashes = append(message.Crashes, crashToProto(c))
	}
	for _, c := range e.Clearances {
		message.Clearances = append(message.Clearances, &peerpb.CrashClearance{
			Service: c.Service, Id: c.ID, AgeMs: c.Age.Milliseconds(), IsRequest: c.Kind == quarantine.KindRequest,
		})
	}
	for _, h := range e.Holds {
		message.Holds = append(message.Holds, &peerpb.CrashHold{
			Service: h.Service, Id: h.ID, AgeMs: h.Age.Milliseconds(), Trials: int32(h.Trials), TrialAgeMs: h.TrialAge.Milliseconds(),
			Answered: h.WasAnswered, IsRequest: h.Kind == quarantine.KindRequest,
		})
	}
	return message
}

func crashToProto(c quarantine.Crash) *peerpb.ServerCrash {
	message := &peerpb.ServerCrash{
		Server:  &peerpb.ServerStart{Id: c.Server.ID, Address: c.Server.Address, Incarnation: c.Server.Incarnation},
		Service: c.Service, AgeMs: c.Age.Milliseconds(),
	}
	for _, s := range c.Suspects {
		message.Suspects = append(message.Suspects, &peerpb.CrashSuspect{
			Id: s.ID, Position: int32(s.Position), IsRequest: s.Kind == quarantine.KindRequest,
		})
	}
	return message
}

// evidenceFromProto takes a negative age, which no daemon sends, for 0.
func evidenceFromProto(message *peerpb.CrashEvidence) quarantine.Evidence {
	var e quarantine.Evidence
	for _, c := range message.GetCrashes() {
		e.Crashes = append(e.Crashes, crashFromProto(c))
	}
	for _, c := range message.GetClearances() {
		e.Clearances = append(e.Clearances, quarantine.Clearance{
			Subject: quarantine.Subject{Kind: kind(c.GetIsRequest()), Service: c.GetService(), ID: c.GetId()}, Age: age(c.GetAgeMs()),
		})
	}
	for _, h := range message.GetHolds() {
		e.Holds = append(e.Holds, quarantine.Hold{
			Subject: quarantine.Subject{Kind: kind(h.GetIsRequest()), Service: h.GetService(), ID: h.GetId()}, Age: age(h.GetAgeMs()),
			Trials: int(max(h.GetTrials(), 0)), TrialAge: age(h.GetTrialAgeMs()), WasAnswered: h.GetAnswered(),
		})
	}
	return e
}

func crashFromProto(message *peerpb.ServerCrash) quarantine.Crash {
	server := message.GetServer()
	c := quarantine.Crash{
		Server:  azurehitch.ServerIdentity{ID: server.GetId(), Address: server.GetAddress(), Incarnation: server.GetIncarnation()},
		Service: message.GetService(), Age: age(message.GetAgeMs()),
	}
	for _, s := range message.GetSuspects() {
		c.Suspects = append(c.Suspects, quarantine.Suspect{Kind: kind(s.GetIsRequest()), ID: s.GetId(), Position: int(s.GetPosition())})
	}
	return c
}

func kind(isRequest bool) quarantine.Kind {
	if isRequest {
		return quarantine.KindRequest
	}
	return quarantine.KindPart
}

func age(ms int64) time.Duration { return time.Duration(max(ms, 0)) * time.Millisecond }

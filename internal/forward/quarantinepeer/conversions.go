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
		message.Clearances = append(message.Clearances, &peerpb.PartClearance{Service: c.Service, Part: c.ID, AgeMs: c.Age.Milliseconds()})
	}
	for _, h := range e.Holds {
		message.Holds = append(message.Holds, &peerpb.PartHold{
			Service: h.Service, Part: h.ID, AgeMs: h.Age.Milliseconds(), Trials: int32(h.Trials), TrialAgeMs: h.TrialAge.Milliseconds(),
			Answered: h.WasAnswered,
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
		message.Suspects = append(message.Suspects, &peerpb.PromptPart{Id: s.ID, Position: int32(s.Position)})
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
		e.Clearances = append(e.Clearances, quarantine.Clearance{Part: quarantine.Part{Service: c.GetService(), ID: c.GetPart()}, Age: age(c.GetAgeMs())})
	}
	for _, h := range message.GetHolds() {
		e.Holds = append(e.Holds, quarantine.Hold{
			Part: quarantine.Part{Service: h.GetService(), ID: h.GetPart()}, Age: age(h.GetAgeMs()),
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
		c.Suspects = append(c.Suspects, quarantine.Suspect{ID: s.GetId(), Position: int(s.GetPosition())})
	}
	return c
}

func age(ms int64) time.Duration { return time.Duration(max(ms, 0)) * time.Millisecond }

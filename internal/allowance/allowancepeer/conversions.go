package allowancepeer

import (
	"math"
	"time"

	"azurehitch/internal/allowance/sharedlimit"
	"azurehitch/internal/peer/peerpb"
)

func reportToProto(r sharedlimit.Report) *peerpb.AllowanceReport {
	message := &peerpb.AllowanceReport{Process: r.Process, Sequence: r.Sequence, Echo: stampToProto(r.Echo), Share: r.Share}
	for _, s := range r.Slots {
		message.Slots = append(message.Slots, slotToProto(s))
	}
	for _, x := range r.Returned {
		message.Returned = append(message.Returned, &peerpb.AllowanceReturn{Account: x.Key, Units: x.Units, Since: stampToProto(x.Since)})
	}
	for _, w := range r.Wants {
		message.Wants = append(message.Wants, &peerpb.AllowanceWant{
			Account: w.Key, Slot: slotToProto(w.Slot), PerSecond: w.Limit.PerSecond, Burst: w.Limit.Burst, First: w.First, Need: w.Need, Extra: w.Extra,
		})
	}
	return message
}

func reportFromProto(daemon string, message *peerpb.AllowanceReport) sharedlimit.Report {
	r := sharedlimit.Report{
		Lender: daemon, Process: message.GetProcess(), Sequence: message.GetSequence(), Echo: stampFromProto(message.GetEcho()),
		Share: amount(message.GetShare()),
	}
	for _, s := range message.GetSlots() {
		r.Slots = append(r.Slots, slotFromProto(s))
	}
	for _, x := range message.GetReturned() {
		r.Returned = append(r.Returned, sharedlimit.Return{Key: x.GetAccount(), Units: amount(x.GetUnits()), Since: stampFromProto(x.GetSince())})
	}
	for _, w := range message.GetWants() {
		r.Wants = append(r.Wants, sharedlimit.Want{
			Key: w.GetAccount(), Slot: slotFromProto(w.GetSlot()),
			Limit: sharedlimit.Limit{PerSecond: amount(w.GetPerSecond()), Burst: amount(w.GetBurst())},
			First: amount(w.GetFirst()), Need: amount(w.GetNeed()), Extra: amount(w.GetExtra()),
		})
	}
	return r
}

func answerToProto(a sharedlimit.Answer) *peerpb.AllowanceAnswer {
	message := &peerpb.AllowanceAnswer{Stamp: stampToProto(a.Stamp), LenderProcess: a.LenderProcess, Stale: a.IsStale}
	for _, g := range a.Grants {
		grant := &peerpb.AllowanceGrant{Account: g.Key, Units: g.Units}
		if g.Retry > 0 {
			grant.RetryMs = max(g.Retry.Milliseconds(), 1)
		}
		message.Grants = append(message.Grants, grant)
	}
	return message
}

func answerFromProto(message *peerpb.AllowanceAnswer) sharedlimit.Answer {
	a := sharedlimit.Answer{Stamp: stampFromProto(message.GetStamp()), LenderProcess: message.GetLenderProcess(), IsStale: message.GetStale()}
	for _, g := range message.GetGrants() {
		a.Grants = append(a.Grants, sharedlimit.Grant{
			Key: g.GetAccount(), Units: amount(g.GetUnits()), Retry: time.Duration(max(g.GetRetryMs(), 0)) * time.Millisecond,
		})
	}
	return a
}

func stampToProto(s sharedlimit.Stamp) *peerpb.AllowanceStamp {
	return &peerpb.AllowanceStamp{Process: s.Process, Nanos: s.Nanos}
}

func stampFromProto(s *peerpb.AllowanceStamp) sharedlimit.Stamp {
	return sharedlimit.Stamp{Process: s.GetProcess(), Nanos: s.GetNanos()}
}

func slotToProto(s sharedlimit.Slot) *peerpb.AllowanceSlot {
	return &peerpb.AllowanceSlot{Count: int32(s.Count), Index: int32(s.Index)}
}

func slotFromProto(s *peerpb.AllowanceSlot) sharedlimit.Slot {
	return sharedlimit.Slot{Count: int(s.GetCount()), Index: int(s.GetIndex())}
}

// amount takes a number that no daemon sends, which is negative, infinite or none, for 0.
func amount(units float64) float64 {
	if units > 0 && units <= math.MaxFloat64 {
		return units
	}
	return 0
}

// Package metrics keeps the metrics of a daemon: counters and gauges as expvar variables, and
// histograms of durations.
//
// # Usage
//
//	m := metrics.New()
//	m.Add(metrics.RequestsAccepted, 1)
//	m.AddLabeled(metrics.RequestsRefused, "overloaded", 1)
//	handler := m.Handler()
//
// The variables of a daemon are not published in the process-wide expvar registry, so that several
// daemons can run in one test. docs/metrics.md lists them.
package metrics

import (
	"expvar"
	"fmt"
	"sync"

	"github.com/valyala/fasthttp"
)

// Name is the name of a variable or histogram.
type Name string

// The counters. The comments give only what the names don't say.
const (
	RequestsAccepted  Name = "RequestsAccepted"
	RequestsAnswered  Name = "RequestsAnswered"
	RequestsRefused   Name = "RequestsRefused"
	RequestsUnknown   Name = "RequestsUnknown"
	RequestsAbandoned Name = "RequestsAbandoned"
	RequestsRetried   Name = "RequestsRetried"
	// RequestsStopped counts the requests that a planned stop refused or cut.
	RequestsStopped Name = "RequestsStopped"
	StreamsResumed  Name = "StreamsResumed"
	StreamsMoved    Name = "StreamsMoved"
	StreamsCut      Name = "StreamsCut"
	// StreamOrigins counts the streams that callers took up again, by who knew where they began.
	StreamOrigins Name = "StreamOrigins"
	// StreamOriginsWritten counts the origins that this daemon wrote to the log.
	StreamOriginsWritten Name = "StreamOriginsWritten"
	LogReads             Name = "LogReads"
	LogReadErrors        Name = "LogReadErrors"
	LogAppends           Name = "LogAppends"
	LogAppendErrors      Name = "LogAppendErrors"
	LeaseClaimsWon       Name = "LeaseClaimsWon"
	LeaseClaimsLost      Name = "LeaseClaimsLost"
	LeaseRenewals        Name = "LeaseRenewals"
	LeaseReleases        Name = "LeaseReleases"
	LoadsDone            Name = "LoadsDone"
	LoadsRefused         Name = "LoadsRefused"
	LoadsUnknown         Name = "LoadsUnknown"
	UnloadsDone          Name = "UnloadsDone"
	UnloadsFailed        Name = "UnloadsFailed"
	// IntentsLeftOpen counts failed attempts to append the record that closes an intent.
	IntentsLeftOpen   Name = "IntentsLeftOpen"
	SnapshotsAppended Name = "SnapshotsAppended"
	HostListErrors    Name = "HostListErrors"
	PeerCalls         Name = "PeerCalls"
	PeerErrors        Name = "PeerErrors"
	BreakersOpened    Name = "BreakersOpened"
	// DirectDiscoveries counts requests for which this daemon found a ready replica itself, because
	// the holder of the pool did not answer.
	DirectDiscoveries    Name = "DirectDiscoveries"
	DuplicateCalls       Name = "DuplicateCalls"
	ConfigurationChanges Name = "ConfigurationChanges"
	LoadSlotsGranted     Name = "LoadSlotsGranted"
	// LoadSlotsAlone counts the grants of loads that this daemon made without the load scheduler. They
	// are also in LoadSlotsGranted.
	LoadSlotsAlone Name = "LoadSlotsAlone"
	// EstimatesEnded counts estimates of waits, by whether they proved right.
	EstimatesEnded Name = "EstimatesEnded"
	// HistoriesLearnt counts the pools whose usage history this daemon restored from the records of
	// an earlier holder.
	HistoriesLearnt Name = "HistoriesLearnt"
	EngineReports   Name = "EngineReports"
	OrdersSent      Name = "OrdersSent"
	SwapOrders      Name = "SwapOrders"
	RequestsInvalid Name = "RequestsInvalid"
	// ConnectionsLost counts the connections of callers that were closed without an answer to the last
	// request on them, by the loss.
	ConnectionsLost Name = "ConnectionsLost"
	StoreReads      Name = "StoreReads"
	StoreReadErrors Name = "StoreReadErrors"
	// LogEras counts the changes of the era of the log, by stream.
	LogEras Name = "LogEras"
	// FoldsReplaced counts how often the state of the leases was not built from all records before it, by
	// its source.
	FoldsReplaced Name = "FoldsReplaced"
	// RetriesDenied counts the retries that the retry budget did not allow, by service.
	RetriesDenied   Name = "RetriesDenied"
	LogLinesDropped Name = "LogLinesDropped"
	// HedgesSent counts the calls sent to a second server while the first one was late, HedgesWon those of them
	// whose answer was passed on, and HedgesCanceled those that were ended because the first server answered.
	HedgesSent     Name = "HedgesSent"
	HedgesWon      Name = "HedgesWon"
	HedgesCanceled Name = "HedgesCanceled"
	// HedgesDenied counts the calls that were not hedged, by cause.
	HedgesDenied Name = "HedgesDenied"
	// LeavesSaid counts shutdown notices of servers, by their source.
	LeavesSaid Name = "LeavesSaid"
	// ServerRests counts the backoffs that servers requested from this daemon.
	ServerRests Name = "ServerRests"
	// ServerLimits counts the rate limits that began, changed or ended.
	ServerLimits Name = "ServerLimits"
	// BrittleChanges counts the changes of the brittleness of servers, and BrittleRejections the requests of
	// this daemon that brittle servers rejected for lack of capacity.
	BrittleChanges    Name = "BrittleChanges"
	BrittleRejections Name = "BrittleRejections"
	// RequestsToLimited counts requests sent to servers with a rate limit, by the reason for their
	// placement.
	RequestsToLimited Name = "RequestsToLimited"
	AnswersTooLarge   Name = "AnswersTooLarge"
	// BodiesRefused counts the requests whose bodies were not received, by cause.
	BodiesRefused Name = "BodiesRefused"
	// ServerCrashes counts the crashes of servers that this daemon found because they broke off its
	// requests.
	ServerCrashes Name = "ServerCrashes"
	// PartTrials counts the requests with a held part that were sent as a trial, and RequestTrials the held requests.
	PartTrials    Name = "PartTrials"
	RequestTrials Name = "RequestTrials"
	// PathsBlocked counts the paths to servers that were found blocked.
	PathsBlocked Name = "PathsBlocked"
	// TunnelsAsked counts the tunnels that this daemon asked others for, and TunnelsServed those that others
	// asked this daemon for, by outcome.
	TunnelsAsked  Name = "TunnelsAsked"
	TunnelsServed Name = "TunnelsServed"
	// AllowanceUnits counts units of the limits of accounts, and AllowanceReports messages between daemons about
	// them, by what happened to them. AllowanceRefusals counts the requests beyond an allowance.
	AllowanceUnits    Name = "AllowanceUnits"
	AllowanceReports  Name = "AllowanceReports"
	AllowanceRefusals Name = "AllowanceRefusals"
	// RequestsTunneled counts the requests sent to servers through another daemon.
	RequestsTunneled Name = "RequestsTunneled"
	// CredentialsRefused counts the requests without a valid key, by the fault of their credentials.
	CredentialsRefused Name = "CredentialsRefused"
	// AccountRequestsServed counts the complete answers and AccountRequestsRefused the refusals, by account; the
	// refusals also by their code.
	AccountRequestsServed  Name = "AccountRequestsServed"
	AccountRequestsRefused Name = "AccountRequestsRefused"
	// AccountUnitsTaken and AccountUnitsRefunded count the units of the allowances, by account. Requests of
	// accounts without a limit count too.
	AccountUnitsTaken    Name = "AccountUnitsTaken"
	AccountUnitsRefunded Name = "AccountUnitsRefunded"
)

// The gauges.
const (
	ConfigurationVersion Name = "ConfigurationVersion"
	FoldedTo             Name = "FoldedTo"
	PoolsHeld            Name = "PoolsHeld"
	ControlBytesRead     Name = "ControlBytesRead"
	ControlBytesWritten  Name = "ControlBytesWritten"
	RequestsInProgress   Name = "RequestsInProgress"
	RequestsWaiting      Name = "RequestsWaiting"
	// PartsHeld is the number of parts of prompts with which no requests are sent.
	PartsHeld Name = "PartsHeld"
	// RequestsHeld is the number of single requests that are not sent.
	RequestsHeld Name = "RequestsHeld"
	// CutOff is 1 while this daemon reaches no server, and others do.
	CutOff Name = "CutOff"
	// ConfigurationUnreadable is 1 while this release can't read the configuration in force, else 0.
	ConfigurationUnreadable Name = "ConfigurationUnreadable"
	RecordsDamaged          Name = "RecordsDamaged"
	KeysClaimed             Name = "KeysClaimed"
	ClaimGaps               Name = "ClaimGaps"
	// AllowanceShare is the part of the limits of accounts that other daemons and this one have lent to this one, in
	// thousandths, and AllowancesKept the number of limits of which it keeps a state.
	AllowanceShare Name = "AllowanceShare"
	AllowancesKept Name = "AllowancesKept"
)

// The durations, which are kept as histograms.
const (
	RequestTime Name = "RequestTime"
	// FirstByteTime is the time from sending an attempt until the head of its response.
	FirstByteTime Name = "FirstByteTime"
	// FirstEventTime is the time from the arrival of a request until the first event of its stream.
	FirstEventTime Name = "FirstEventTime"
	// RetryWait is the time from the charge of a retry to the budget until it is sent.
	RetryWait Name = "RetryWait"
)

// Metrics holds the variables and histograms of one daemon.
type Metrics struct {
	values  *expvar.Map
	labeled *expvar.Map
	times   *histograms

	mu sync.Mutex
	// accounts are the accounts that have their own labels.
	accounts map[string]bool
}

// New returns metrics without values. A variable that was never set reads as 0.
func New() *Metrics {
	return &Metrics{values: new(expvar.Map).Init(), labeled: new(expvar.Map).Init(), times: newHistograms(), accounts: map[string]bool{}}
}

// maxAccounts bounds the number of accounts with their own labels, since accounts come and go with the
// configuration. The others have the label otherLabel.
const maxAccounts = 1024

// AddForAccount adds to a counter, to its value for an account and, unless cause is empty, to its value for both.
func (m *Metrics) AddForAccount(name Name, account, cause string, n int64) {
	account = m.accountLabel(account)
	m.AddLabeled(name, account, n)
	if cause != "" {
		m.labeled.Add(string(name)+"."+account+"."+cause, n)
	}
}

func (m *Metrics) accountLabel(account string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.accounts[account] && len(m.accounts) >= maxAccounts {
		return otherLabel
	}
	m.accounts[account] = true
	return account
}

// Add adds to a counter or gauge.
func (m *Metrics) Add(name Name, n int64) { m.values.Add(string(name), n) }

// AddLabeled adds to a counter, both to its total and to its value for a label.
func (m *Metrics) AddLabeled(name Name, label string, n int64) {
	m.Add(name, n)
	m.labeled.Add(string(name)+"."+label, n)
}

// Set sets a gauge.
func (m *Metrics) Set(name Name, value int64) {
	gauge := new(expvar.Int)
	gauge.Set(value)
	m.values.Set(string(name), gauge)
}

// Get returns the value of a counter or gauge; 0 if it was never set.
func (m *Metrics) Get(name Name) int64 {
	value, ok := m.values.Get(string(name)).(*expvar.Int)
	if !ok {
		return 0
	}
	return value.Value()
}

// GetLabeled returns the value of a counter for a label; 0 if it was never set.
func (m *Metrics) GetLabeled(name Name, label string) int64 {
	value, ok := m.labeled.Get(string(name) + "." + label).(*expvar.Int)
	if !ok {
		return 0
	}
	return value.Value()
}

// Handler serves the variables and the memory statistics of the process as JSON.
func (m *Metrics) Handler() fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		ctx.SetContentType("application/json")
		fmt.Fprintf(ctx, `{"Azurehitch":%s,"ByLabel":%s,"memstats":%s}`, m.values, m.labeled, expvar.Get("memstats"))
	}
}

package control_test

import (
	"context"
	"flag"
	"fmt"
	"slices"
	"strconv"
	"testing"
	"time"

	"azurehitch"
	"azurehitch/internal/lease/leaselog"
	"azurehitch/internal/oplog/control"
	"azurehitch/internal/oplog/follow"
	"azurehitch/internal/standin/manualclock"
	"azurehitch/internal/standin/platformlog"

	"pgregory.net/rapid"
)

const (
	// foldPool is the pool whose lease the daemons of a simulation hold.
	foldPool = "llm"
	// foldTick is the time between two steps of a daemon that runs without delays.
	foldTick = 300 * time.Millisecond
	// foldRetention is the age at which the log deletes records.
	foldRetention = 10 * time.Second
	// foldReclaimDelay is the ReclaimDelay of the daemons.
	foldReclaimDelay = 3300 * time.Millisecond
	// foldSettleTime is how long after the last fault all daemons know one holder. Until then, the log may keep
	// records that no daemon can fold; all leases expire after that.
	foldSettleTime = foldRetention + 15*time.Second
	// wholeLog is a limit of one read that the log never reaches, and partOfLog one that it does.
	wholeLog  = 1 << 20
	partOfLog = 50
	// maxFoldCopyAge limits how old a copy is from which the log returns.
	maxFoldCopyAge = 6 * time.Second
	maxFoldCopies  = 3
	maxFoldEras    = 4
	// shortFoldChecks is the number of checks without the flag checksFlag.
	shortFoldChecks = 15
	checksFlag      = "rapid.checks"
)

// foldSimulation simulates daemons that fold a log. The log drops its history, deletes old records and returns from
// older copies. Appends reach it late, twice or never.
type foldSimulation struct {
	clock   *manualclock.Clock
	log     *platformlog.Log
	era     int64
	names   []string
	daemons map[string]*foldDaemon
	starts  int
	// batch is the maximum number of records of one read.
	batch int
	// sent are the appends that have not reached the log.
	sent   [][][]byte
	copies []foldCopy
	// appendedAt is when each record was appended, by offset from 1 on.
	appendedAt []time.Time
	// folds are the folds that daemons had at each position.
	folds map[control.Position]string
	// lastOrder is the last order, and lastOrderAt when each daemon sent its last order.
	lastOrder   foldOrder
	lastOrderAt map[string]time.Time
}

// foldCopy is an older copy of the log.
type foldCopy struct {
	records    platformlog.Copy
	appendedAt []time.Time
	at         time.Time
}

// foldOrder is an order that a daemon sends to servers.
type foldOrder struct {
	holder leaselog.Holder
	token  int64
	at     time.Time
}

// foldDaemon is one process of a daemon.
type foldDaemon struct {
	store    *control.Store
	follower *follow.Follower
	writer   *control.Writer
	// comparedTo is the offset to which the fold was last compared with those of others.
	comparedTo int64
}

// foldLog is the log as the daemons of a simulation reach it. It implements azurehitch.BatchLog.
type foldLog struct{ *foldSimulation }

// Read implements azurehitch.Log.
func (l foldLog) Read(ctx context.Context, stream string, from int64, wait time.Duration) (azurehitch.Batch, error) {
	batch, err := l.log.Read(ctx, stream, from, wait)
	for n := len(batch.Records); n > 0 && n < l.batch && batch.Records[n-1].Offset+1 < batch.Next; n = len(batch.Records) {
		more, err := l.log.Read(ctx, stream, batch.Records[n-1].Offset+1, wait)
		if err != nil {
			return azurehitch.Batch{}, err
		}
		batch.Records = append(batch.Records, more.Records...)
	}
	batch.Records = batch.Records[:min(len(batch.Records), l.batch)]
	return batch, err
}

// Append implements azurehitch.Log. The record is on its way until it is delivered.
func (l foldLog) Append(ctx context.Context, stream string, payload []byte) (int64, error) {
	return l.AppendBatch(ctx, stream, [][]byte{payload})
}

// AppendBatch implements azurehitch.BatchLog.
func (l foldLog) AppendBatch(_ context.Context, _ string, payloads [][]byte) (int64, error) {
	l.sent = append(l.sent, payloads)
	return 0, &azurehitch.ErrLog{Operation: "append", MayHaveTakenEffect: true}
}

func newFoldSimulation(era int64, batch int, names ...string) *foldSimulation {
	s := &foldSimulation{
		clock: manualclock.New(), log: platformlog.New(platformlog.Options{Era: era}), era: era, batch: batch, names: names,
		daemons: map[string]*foldDaemon{}, folds: map[control.Position]string{}, lastOrderAt: map[string]time.Time{},
	}
	for _, name := range names {
		s.restart(name)
	}
	return s
}

// restart ends the process of a daemon and starts another one.
func (s *foldSimulation) restart(name string) {
	s.starts++
	store := control.NewStore(leaselog.Holder{Daemon: name, Incarnation: fmt.Sprint(s.starts)}, s.clock).WithoutTables()
	s.daemons[name] = &foldDaemon{
		store:    store,
		follower: follow.NewFollower(foldLog{s}, stream, store, s.clock, nopObserver{}),
		writer:   control.NewWriter(foldLog{s}, stream, store, nopObserver{}),
	}
}

// read lets a daemon read once, at most limit records. It reports whether the daemon may have more to read.
func (s *foldSimulation) read(name string, limit int) bool {
	s.expire()
	full := s.batch
	s.batch = min(limit, full)
	defer func() { s.batch = full }()
	d := s.daemons[name]
	before := d.store.FoldedTo()
	if err := d.follower.Step(context.Background(), 0); err != nil {
		return false
	}
	// The first read of an era only gives up what was folded before.
	return d.store.FoldedTo() != before
}

// expire deletes the records that are older than foldRetention.
func (s *foldSimulation) expire() {
	kept, _ := slices.BinarySearchFunc(s.appendedAt, s.clock.Time.Add(-foldRetention), time.Time.Compare)
	s.log.DropBefore(stream, int64(kept)+1)
}

// decide sends the records that a daemon should append now.
func (s *foldSimulation) decide(name string) {
	d := s.daemons[name]
	environment := leaselog.Environment{
		Pools: []leaselog.PoolSetting{{Name: foldPool, Duration: leaseDuration}}, Daemons: s.names, PredecessorEnded: true,
		ReclaimDelay: foldReclaimDelay,
	}
	for _, action := range d.store.Decide(environment) {
		d.append(action)
	}
	if d.store.SnapshotDue(2000, foldRetention/3, slices.Index(s.names, name)) {
		snapshot := d.store.Snapshot()
		d.appendRecord(control.Record{Snapshot: &snapshot})
	}
}

func (d *foldDaemon) append(action leaselog.Action) {
	if action.EraStart != nil {
		_ = d.writer.StartEra(context.Background(), *action.EraStart)
		return
	}
	if action.Release != nil {
		d.store.BeginRelease(action.Release.Pool)
	}
	d.appendRecord(control.Record{Claim: action.Claim, Renewal: action.Renew, Release: action.Release})
}

// appendRecord sends a record without waiting for its verdict.
func (d *foldDaemon) appendRecord(record control.Record) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, _ = d.writer.Append(ctx, record)
}

// release lets a daemon give up its leases, as before a planned stop.
func (s *foldSimulation) release(name string) {
	d := s.daemons[name]
	for _, action := range d.store.Releases() {
		d.append(action)
	}
}

// deliver lets an append reach the log; copies of it stay on their way if it isn't taken.
func (s *foldSimulation) deliver(i int, taken bool) {
	payloads := s.sent[i]
	if taken {
		s.sent = slices.Delete(s.sent, i, i+1)
	}
	_, _ = s.log.AppendBatch(context.Background(), stream, payloads)
	for range payloads {
		s.appendedAt = append(s.appendedAt, s.clock.Time)
	}
}

func (s *foldSimulation) copyLog() {
	s.copies = append(s.copies, foldCopy{records: s.log.Copy(), appendedAt: slices.Clone(s.appendedAt), at: s.clock.Time})
	s.copies = s.copies[max(0, len(s.copies)-maxFoldCopies):]
}

func (s *foldSimulation) returnFrom(older foldCopy) {
	s.log.Restore(older.records)
	s.appendedAt = slices.Clone(older.appendedAt)
	s.era++
}

// run lets some daemons read, decide and append without delays. Appends that were sent before stay on their way.
func (s *foldSimulation) run(span time.Duration, names []string, check func()) {
	late := len(s.sent)
	for end := s.clock.Time.Add(span); s.clock.Time.Before(end); s.clock.Time = s.clock.Time.Add(foldTick) {
		for _, name := range names {
			for s.read(name, s.batch) {
			}
			s.decide(name)
			for len(s.sent) > late {
				s.deliver(late, true)
			}
		}
		check()
	}
}

// pause lets a daemon pause between its read and its appends, while others run.
func (s *foldSimulation) pause(paused string, span time.Duration, names []string, check func()) {
	s.read(paused, s.batch)
	s.run(span, slices.DeleteFunc(names, func(name string) bool { return name == paused }), check)
	late := len(s.sent)
	s.decide(paused)
	for len(s.sent) > late {
		s.deliver(late, true)
	}
}

// problem lets each daemon with a valid lease send an order, and returns what is wrong; empty if nothing is.
func (s *foldSimulation) problem() string {
	var valid []string
	for _, name := range s.names {
		store := s.daemons[name].store
		if problem := s.compareFold(s.daemons[name]); problem != "" {
			return problem
		}
		token, ok := store.TokenValidFor(foldPool, 0)
		if !ok {
			continue
		}
		valid = append(valid, name)
		if problem := s.order(foldOrder{store.Self(), token, s.clock.Time}); problem != "" {
			return problem
		}
	}
	if len(valid) > 1 {
		return fmt.Sprintf("valid leases of one pool at one time: %v", valid)
	}
	return ""
}

// compareFold compares the fold of a daemon with those that others had at the same position.
func (s *foldSimulation) compareFold(d *foldDaemon) string {
	to := d.store.FoldedTo()
	isCompared := to == d.comparedTo
	d.comparedTo = to
	if to == 0 || isCompared {
		return ""
	}
	snapshot := d.store.Snapshot()
	at := control.Position{Era: snapshot.LogEra, Offset: snapshot.FoldedTo}
	fold := fmt.Sprint(snapshot.Era, snapshot.EraStartedAt, snapshot.StartedOver, snapshot.Leases)
	if known, ok := s.folds[at]; ok && known != fold {
		return fmt.Sprintf("folds differ at %v: %s of %s, %s before", at, fold, d.store.Self().Daemon, known)
	}
	s.folds[at] = fold
	return ""
}

// order records an order, and returns what is wrong with it.
func (s *foldSimulation) order(order foldOrder) string {
	last := s.lastOrder
	s.lastOrder = order
	defer func() { s.lastOrderAt[order.holder.Daemon] = order.at }()
	switch {
	case order.token < last.token:
		return fmt.Sprintf("an order of %v after %v", order, last)
	case order.token == last.token && order.holder != last.holder:
		return fmt.Sprintf("%v and %v have one token", order, last)
	}
	before, hasOrdered := s.lastOrderAt[order.holder.Daemon]
	if hasOrdered && order.holder.Daemon != last.holder.Daemon && order.at.Sub(before) < leaseDuration {
		return fmt.Sprintf("%v ordered %s before, and %v between", order, order.at.Sub(before), last)
	}
	return ""
}

// unsettled returns what keeps all daemons from knowing one holder whose lease is valid; empty if nothing does.
func (s *foldSimulation) unsettled() string {
	var holders []string
	valid := 0
	for _, name := range s.names {
		store := s.daemons[name].store
		holders = append(holders, fmt.Sprintf("%v to %d", store.Lease(foldPool), store.FoldedTo()))
		if _, ok := store.Token(foldPool); ok {
			valid++
		}
	}
	isSame := func(name string) bool {
		return s.daemons[name].store.Lease(foldPool).Token == s.daemons[s.names[0]].store.Lease(foldPool).Token
	}
	if valid == 1 && !slices.ContainsFunc(s.names, func(name string) bool { return !isSame(name) }) {
		return ""
	}
	return fmt.Sprintf("%d daemons with a valid lease; %v", valid, holders)
}

// TestProveFoldsAgree checks that daemons that have folded to the same position have the same leases, that no two
// hold valid leases at the same time, that the tokens of orders rise, and that after all faults one daemon holds
// the lease and all know it.
func TestProveFoldsAgree(t *testing.T) {
	limitChecks(t, shortFoldChecks)
	rapid.Check(t, func(t *rapid.T) {
		era := rapid.SampledFrom([]int64{1, 0, 2}).Draw(t, "era")
		s := newFoldSimulation(era, rapid.SampledFrom([]int{wholeLog, partOfLog}).Draw(t, "batch"), "a", "b", "c")
		check := func() {
			if problem := s.problem(); problem != "" {
				t.Fatal(problem)
			}
		}
		t.Repeat(foldActions(s, check))
		// A daemon that lacks records reads them from the oldest one on, and so needs a snapshot within one read.
		s.sent, s.batch = nil, wholeLog
		s.run(foldSettleTime, s.names, check)
		if problem := s.unsettled(); problem != "" {
			t.Fatal(problem)
		}
	})
}

// limitChecks limits the checks of a property to a number, unless a flag sets it.
func limitChecks(t *testing.T, checks int) {
	isSet := false
	flag.Visit(func(f *flag.Flag) { isSet = isSet || f.Name == checksFlag })
	if isSet {
		return
	}
	checksValue := flag.Lookup(checksFlag).Value
	before := checksValue.String()
	t.Cleanup(func() { _ = checksValue.Set(before) })
	if err := checksValue.Set(strconv.Itoa(checks)); err != nil {
		t.Fatal(err)
	}
}

// foldActions returns what may happen in a simulation. The action without a name checks the state after each.
func foldActions(s *foldSimulation, check func()) map[string]func(*rapid.T) {
	daemon := func(t *rapid.T) string { return rapid.SampledFrom(s.names).Draw(t, "daemon") }
	milliseconds := func(t *rapid.T, most int) time.Duration {
		return time.Duration(rapid.IntRange(1, most).Draw(t, "ms")) * time.Millisecond
	}
	record := func(t *rapid.T) int {
		if len(s.sent) == 0 {
			t.Skip("no append is on its way")
		}
		return rapid.IntRange(0, len(s.sent)-1).Draw(t, "append")
	}
	some := func(t *rapid.T) []string {
		return rapid.SliceOfNDistinct(rapid.SampledFrom(s.names), 1, len(s.names), rapid.ID).Draw(t, "running")
	}
	run := func(t *rapid.T) { s.run(milliseconds(t, 8000), some(t), check) }
	return map[string]func(*rapid.T){
		"pass":    func(t *rapid.T) { s.clock.Time = s.clock.Time.Add(milliseconds(t, 6000)) },
		"read":    func(t *rapid.T) { s.read(daemon(t), rapid.SampledFrom([]int{1, 2, 7, wholeLog}).Draw(t, "records")) },
		"decide":  func(t *rapid.T) { s.decide(daemon(t)) },
		"run":     run,
		"run on":  run,
		"pause":   func(t *rapid.T) { s.pause(daemon(t), milliseconds(t, 8000), some(t), check) },
		"restart": func(t *rapid.T) { s.restart(daemon(t)) },
		"release": func(t *rapid.T) { s.release(daemon(t)) },
		"deliver": func(t *rapid.T) { s.deliver(record(t), true) },
		"repeat":  func(t *rapid.T) { s.deliver(record(t), false) },
		"lose": func(t *rapid.T) {
			i := record(t)
			s.sent = slices.Delete(s.sent, i, i+1)
		},
		"drop all": func(*rapid.T) { s.log.DropHistory() },
		"drop some": func(t *rapid.T) {
			s.log.DropBefore(stream, int64(len(s.appendedAt))-int64(rapid.IntRange(0, 12).Draw(t, "kept")))
		},
		"copy": func(*rapid.T) { s.copyLog() },
		"return": func(t *rapid.T) {
			s.copies = slices.DeleteFunc(s.copies, func(c foldCopy) bool { return s.clock.Time.Sub(c.at) > maxFoldCopyAge })
			if len(s.copies) == 0 || s.era == 0 || s.era >= maxFoldEras {
				t.Skip("no copy, or a log that names no era")
			}
			s.returnFrom(rapid.SampledFrom(s.copies).Draw(t, "copy"))
		},
		"": func(*rapid.T) { check() },
	}
}

// TestTokensRiseAfterLostStartOver covers a log that returns from a copy that lacks a start-over, whose gap raised
// the tokens beyond the records that an era usually loses.
func TestTokensRiseAfterLostStartOver(t *testing.T) {
	for _, era := range []int64{2, 3, 5} {
		t.Run(fmt.Sprintf("era %d", era), func(t *testing.T) {
			s := newFoldSimulation(era, wholeLog, "a", "b")
			check := func() {
				if problem := s.problem(); problem != "" {
					t.Fatal(problem)
				}
			}
			s.run(2*leaseDuration, []string{"b"}, check)
			s.restart("a")
			s.copyLog()
			s.log.DropHistory()
			s.run(2*leaseDuration, []string{"a"}, check)
			s.returnFrom(s.copies[0])
			s.run(2*leaseDuration, []string{"b"}, check)
			if s.lastOrder.holder.Daemon != "b" {
				t.Fatalf("the last order is that of %v", s.lastOrder.holder)
			}
		})
	}
}

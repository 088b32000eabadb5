// Package members lets daemons discover each other through a keyed stream.
//
// # Usage
//
//	directory := members.New(log, "members", self, clock, observer)
//	group.Go(func() error { return directory.Run(ctx) })
//	address, ok := directory.Address("daemon-2")
//
// Each daemon writes its address once per start, and again if a list of the stream lacks its entry or has an
// older one: the log may have lost it. An entry does not imply that its daemon is still running.
//
// Entries also list the services that have had servers of several software versions a short time ago, so that
// daemons still know it after a restart of all.
package members

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"sync"
	"time"

	"azurehitch"
	"azurehitch/internal/oplog/compacted"

	"golang.org/x/sync/errgroup"
)

const (
	// readWait is how long a read of the stream waits for new entries.
	readWait = 10 * time.Second
	// readInterval is the minimum time between two reads: daemons that start together write their
	// entries one after another.
	readInterval = 600 * time.Millisecond
	// putInterval is the time until a failed write of the own entry is retried.
	putInterval = 500 * time.Millisecond
	// announceTime is how long daemons that start together take to write their entries.
	announceTime = 700 * time.Millisecond
)

// Member is the entry that a daemon writes about itself at each start.
type Member struct {
	Name string
	// Incarnation differs for each start of the daemon.
	Incarnation string
	// Address is the address at which other daemons reach this daemon.
	Address string
	// Tunnels is the address at which the daemon opens tunnels to backend servers for others; empty if it
	// opens none. FailureDomain is that of its host.
	Tunnels       string
	FailureDomain string
	// Processor is the processor time of the host in cores, and Bandwidth the rate of its link in
	// bits per second. 0 means unknown.
	Processor float64
	Bandwidth int64
	// MixedServices are services that have had servers of several software versions a short time ago, sorted.
	MixedServices []string `json:",omitempty"`
}

// WithMixedServices returns the entry with other mixed services.
func (m Member) WithMixedServices(services []string) Member {
	m.MixedServices = slices.Clone(services)
	return m
}

// decode returns the entry of a record. Entries that can't be decoded, or whose key is not the daemon's name, are none.
func decode(r azurehitch.KeyedRecord) (m Member, ok bool) {
	err := json.Unmarshal(r.Value, &m)
	return m, err == nil && m.Name == r.Key
}

// Directory holds the known daemons. It implements compacted.Fold.
type Directory struct {
	log      azurehitch.KeyedLog
	stream   string
	clock    azurehitch.Clock
	observer compacted.Observer

	mu sync.Mutex
	// self is the entry of this daemon. Its name does not change.
	self Member
	// members holds the known daemons, this one included, by name.
	members map[string]Member
	// listedAt is when all entries of the stream were first read; zero before.
	listedAt time.Time
	// hasPredecessor is true if the first list had an entry of an earlier process of this daemon.
	hasPredecessor bool
	// wereMixed are the mixed services of the first list.
	wereMixed map[string]bool
	// listed is closed after the first list, and unlisted wakes announce when the entry of this daemon is missing.
	listed   chan struct{}
	unlisted chan struct{}
}

// New returns a directory that contains only its own daemon.
func New(log azurehitch.KeyedLog, stream string, self Member, clock azurehitch.Clock, observer compacted.Observer) *Directory {
	return &Directory{
		log: log, stream: stream, self: self, clock: clock, observer: observer,
		members: map[string]Member{self.Name: self}, wereMixed: map[string]bool{}, listed: make(chan struct{}), unlisted: make(chan struct{}, 1),
	}
}

// Run writes the entry of this daemon and reads the entries of other daemons until the context is
// done.
func (d *Directory) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return d.announce(ctx) })
	follower := compacted.NewFollower(d.log, d.stream, d, d.clock, d.observer, compacted.Pace{Wait: readWait, Interval: readInterval})
	group.Go(func() error { return follower.Run(ctx) })
	return group.Wait()
}

// announce writes the entry of this daemon after the first list, in which that of an earlier process is still to be
// seen, and again each time that it changes or that a list has no or an older one, until the context ends.
func (d *Directory) announce(ctx context.Context) error {
	select {
	case <-ctx.Done():
	case <-d.listed:
	}
	for ctx.Err() == nil {
		if err := d.put(ctx); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
		case <-d.unlisted:
		}
	}
	return nil
}

// put writes the entry of this daemon. A failed write is retried until the context ends. The error is that of
// the encoding.
func (d *Directory) put(ctx context.Context) error {
	for ctx.Err() == nil {
		record, err := d.record()
		if err != nil {
			return err
		}
		err = d.log.Put(ctx, d.stream, record)
		d.observer.StreamRead(d.stream, err)
		if err == nil {
			return nil
		}
		// An error means that the context has ended, which ends the loop.
		_ = d.clock.Sleep(ctx, putInterval)
	}
	return nil
}

// record returns the record of the entry of this daemon.
func (d *Directory) record() (azurehitch.KeyedRecord, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	value, err := json.Marshal(d.self)
	return azurehitch.KeyedRecord{Key: d.self.Name, Value: value}, err
}

// Address returns the address at which other daemons reach a daemon, and false if it is not known.
func (d *Directory) Address(name string) (string, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	m, ok := d.members[name]
	return m.Address, ok
}

// Members returns the known daemons, this one included, in any order.
func (d *Directory) Members() []Member {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Collect(maps.Values(d.members))
}

// Names returns the names of the known daemons, sorted.
func (d *Directory) Names() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Sorted(maps.Keys(d.members))
}

// StrongDaemons returns the sorted names of the daemons whose hosts have at least half of the
// largest processor time and half of the largest bandwidth of all members.
func (d *Directory) StrongDaemons() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var largest Member
	for _, m := range d.members {
		largest.Processor = max(largest.Processor, m.Processor)
		largest.Bandwidth = max(largest.Bandwidth, m.Bandwidth)
	}
	var strong []string
	for _, name := range slices.Sorted(maps.Keys(d.members)) {
		if m := d.members[name]; 2*m.Processor >= largest.Processor && 2*m.Bandwidth >= largest.Bandwidth {
			strong = append(strong, name)
		}
	}
	return strong
}

// IsListed reports whether the entries of other daemons have been read.
func (d *Directory) IsListed() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.listedAt.IsZero()
}

// IsIncomplete reports whether entries of daemons that started together may still be missing: until
// announceTime after all entries were first read.
func (d *Directory) IsIncomplete() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.listedAt.IsZero() || d.clock.Now().Sub(d.listedAt) < announceTime
}

// IsRestart reports whether an earlier process of this daemon may have run before it: it had left an entry, or the
// entries have not been read yet.
func (d *Directory) IsRestart() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.listedAt.IsZero() || d.hasPredecessor
}

// Replace implements compacted.Fold.
func (d *Directory) Replace(records []azurehitch.KeyedRecord, readAt time.Time) {
	d.Apply(records, readAt)
	d.mu.Lock()
	defer d.mu.Unlock()
	own := slices.IndexFunc(records, func(r azurehitch.KeyedRecord) bool { return r.Key == d.self.Name })
	switch {
	case d.listedAt.IsZero():
		d.listedAt, d.hasPredecessor = readAt, own >= 0
		d.keepMixedServices(records)
		close(d.listed)
	case own < 0 || !d.isCurrent(records[own]):
		d.announceAgain()
	}
}

// isCurrent reports whether a record is the entry of this daemon as it is now. The log may have an older one. The
// caller holds d.mu.
func (d *Directory) isCurrent(record azurehitch.KeyedRecord) bool {
	listed, ok := decode(record)
	return ok && listed.Incarnation == d.self.Incarnation && slices.Equal(listed.MixedServices, d.self.MixedServices)
}

// announceAgain makes announce write the entry of this daemon once more.
func (d *Directory) announceAgain() {
	select {
	case d.unlisted <- struct{}{}:
	default:
	}
}

// Apply implements compacted.Fold.
func (d *Directory) Apply(records []azurehitch.KeyedRecord, _ time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, r := range records {
		if m, ok := decode(r); ok && m.Name != d.self.Name {
			d.members[m.Name] = m
		}
	}
}

// ReadFailed implements compacted.Fold. The known members are kept.
func (d *Directory) ReadFailed(time.Time) {}

// UrgentChanges implements compacted.Fold. It is always 0, since no daemon confirms read positions
// of this stream to others.
func (d *Directory) UrgentChanges() int64 { return 0 }

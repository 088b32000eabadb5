// Package streampeer reports to other daemons at which service and software version streams began, and asks them, over
// the connections between daemons.
//
// # Usage
//
//	client := streampeer.NewClient(dependencies)
//	group.Go(func() error { return client.Run(ctx) })
//	bound, err := client.Bound(ctx, resumption)
//	response := client.Handle(request)
//
// Each stream is reported to a few daemons that a hash of its key chooses, so that another daemon finds its
// version after the one that served it has ended. Nothing is reported while all servers of the service have
// the same version.
package streampeer

import (
	"cmp"
	"context"
	"slices"
	"strconv"
	"sync"
	"time"

	"azurehitch"
	"azurehitch/internal/forward/streams"
	"azurehitch/internal/membership/daemonrank"
	"azurehitch/internal/peer/mux"
	"azurehitch/internal/peer/peerpb"
	"azurehitch/internal/telemetry/metrics"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
)

const (
	// keepers is to how many other daemons a stream is reported, and maxAsked how many are asked: the
	// daemons that are known may differ between the two moments.
	keepers  = 4
	maxAsked = 8
	// batchTime is the time in which records are collected before they are reported.
	batchTime = 15 * time.Millisecond
	// tellTimeout and askTimeout limit the calls of another daemon.
	tellTimeout = 300 * time.Millisecond
	askTimeout  = 150 * time.Millisecond
	// unknownRetryAfter is the retry delay of a request that takes up a stream which no daemon knows.
	unknownRetryAfter = time.Second
	// avoidTime is how long a daemon that did not answer is passed over.
	avoidTime = 3 * time.Second
	// maxReports is how often a record is reported, with others in place of the daemons that don't answer.
	maxReports = 3
)

// Log keeps origins of streams for the time after a kill of all daemons.
type Log interface {
	// Add queues origins to be written. It returns false if it takes none, so that another daemon has to write them.
	Add(records []streams.Record) (isTaken bool)
	// Refresh adds the origins in the log to the registry.
	Refresh(ctx context.Context) error
}

// Dependencies holds what a Client uses.
type Dependencies struct {
	// Self is the name of this daemon, and Daemons returns the names of all known daemons.
	Self    string
	Daemons func() []string
	// Address returns the peer address of a daemon, and false if it is not known.
	Address  func(daemon string) (string, bool)
	Registry *streams.Registry
	Log      Log
	// MayBeMixed reports whether servers of several software versions of a service may run now, by the
	// list of servers. It may wait for the list.
	MayBeMixed func(ctx context.Context, service string) bool
	Peers      *mux.Client
	Clock      azurehitch.Clock
	Metrics    *metrics.Metrics
}

// Client exchanges records with other daemons.
type Client struct {
	Dependencies
	mu sync.Mutex
	// avoidUntil is until when a daemon is passed over, and avoidLogUntil until when one that does not write to the log
	// is passed over as the writer.
	avoidUntil    map[string]time.Time
	avoidLogUntil map[string]time.Time
}

// NewClient returns a client.
func NewClient(dependencies Dependencies) *Client {
	return &Client{Dependencies: dependencies, avoidUntil: map[string]time.Time{}, avoidLogUntil: map[string]time.Time{}}
}

// Handle handles a request of another daemon.
func (c *Client) Handle(request *peerpb.Request) *peerpb.Response {
	if reported := request.GetStreamsBegan(); reported != nil {
		records := recordsFromProto(reported)
		c.Registry.Merge(records)
		return &peerpb.Response{Kind: &peerpb.Response_StreamVersion{StreamVersion: &peerpb.StreamVersionResponse{
			WillLog: reported.GetForLog() && c.Log.Add(records),
		}}}
	}
	asked := request.GetStreamVersion()
	origin, ok := c.Registry.Origin(streams.Key(asked.GetRequestKey()), streams.Key(asked.GetKey()))
	return &peerpb.Response{Kind: &peerpb.Response_StreamVersion{StreamVersion: &peerpb.StreamVersionResponse{
		Known: ok, Service: origin.Service, Version: origin.Version,
		Mixed: c.Registry.IsMixed(append(asked.GetServices(), asked.GetService())...),
	}}}
}

// Run reports the streams of this daemon to other daemons until the context ends.
func (c *Client) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return c.runLogReports(ctx) })
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-c.Registry.Wake():
		}
		if c.Clock.Sleep(ctx, batchTime) != nil {
			break
		}
		records := c.Registry.TakeUnreported()
		group.Go(func() error {
			c.report(ctx, records)
			return nil
		})
	}
	return group.Wait()
}

// report reports records to their keepers. Daemons that don't answer are replaced by the next ones.
func (c *Client) report(ctx context.Context, records []streams.Record) {
	reported := make([]map[string]bool, len(records))
	for i := range reported {
		reported[i] = map[string]bool{}
	}
	for range maxReports {
		batches := map[string][]int{}
		for i, record := range records {
			for _, name := range c.ranking(record.Key, keepers) {
				if !reported[i][name] {
					batches[name] = append(batches[name], i)
				}
			}
		}
		if len(batches) == 0 || ctx.Err() != nil {
			return
		}
		for name := range c.reportBatches(ctx, records, batches) {
			for _, i := range batches[name] {
				reported[i][name] = true
			}
		}
	}
}

// firstRanked sorts daemons by rendezvous hashing of a text, and returns the first ones.
func firstRanked(text string, names []string, count int) []string {
	slices.SortFunc(names, func(a, b string) int { return cmp.Compare(daemonrank.Weight(text, b), daemonrank.Weight(text, a)) })
	return names[:min(count, len(names))]
}

// reportBatches reports to each daemon the records with the given indexes, and returns the daemons that have
// answered.
func (c *Client) reportBatches(ctx context.Context, records []streams.Record, batches map[string][]int) map[string]bool {
	var mu sync.Mutex
	answered := map[string]bool{}
	var group errgroup.Group
	for name, indexes := range batches {
		message := &peerpb.StreamsBegan{}
		for _, i := range indexes {
			message.Streams = append(message.Streams, recordToProto(records[i]))
		}
		group.Go(func() error {
			_, err := c.call(ctx, name, tellTimeout, &peerpb.Request{Kind: &peerpb.Request_StreamsBegan{StreamsBegan: message}})
			if err == nil {
				mu.Lock()
				defer mu.Unlock()
				answered[name] = true
			}
			return nil
		})
	}
	// The calls return no errors.
	_ = group.Wait()
	return answered
}

// Bound returns where a stream that its caller takes up again may go on. The error is an *azurehitch.ErrRefused if
// that is not known while servers of several versions run, or if the route no longer leads to the service that began
// the stream.
func (c *Client) Bound(ctx context.Context, r streams.Resumption) (streams.Bound, error) {
	found, err := c.find(ctx, r)
	c.Metrics.AddLabeled(metrics.StreamOrigins, string(found.source), 1)
	bound := streams.Bound{Service: r.Service, Source: found.source}
	origin := found.origin
	switch {
	case err != nil:
		return bound, err
	case found.source == streams.SourceUnknown:
		return bound, nil
	case slices.Contains(r.Services, origin.Service):
		bound.Service, bound.VersionBound = origin.Service, azurehitch.VersionBound{IsSet: true, Version: origin.Version}
		return bound, nil
	case c.mayBeMixed(ctx, origin.Service, r.Service):
		return bound, refuse("the route of stream %s no longer leads to %s, which began it", r.ID, origin.Service)
	}
	return bound, nil
}

// finding is what a Client found out about the origin of a stream.
type finding struct {
	origin streams.Origin
	source streams.Source
}

// find looks for the origin of a stream: in this daemon, at others and, if the stream would be refused without it, in the
// log. It returns an *azurehitch.ErrRefused if the origin is not known and matters.
func (c *Client) find(ctx context.Context, r streams.Resumption) (finding, error) {
	key, serviceKey := streams.KeyOf(r.ID), streams.ServiceKeyOf(r.Service, r.ID)
	if origin, ok := c.Registry.Origin(key, serviceKey); ok {
		return finding{origin, streams.SourceOwn}, nil
	}
	answer := c.ask(ctx, key, &peerpb.StreamVersionRequest{
		Key: uint64(serviceKey), Service: r.Service, RequestKey: uint64(key), Services: r.Services,
	})
	unknown := finding{source: streams.SourceUnknown}
	switch {
	case answer.GetKnown():
		// A daemon of an earlier release names no service: it knows only streams of the one that it was asked for.
		origin := streams.Origin{Service: cmp.Or(answer.GetService(), r.Service), Version: answer.GetVersion()}
		return finding{origin, streams.SourcePeer}, nil
	case !answer.GetMixed() && !c.mayBeMixed(ctx, r.Services...):
		return unknown, nil
	}
	err := c.Log.Refresh(ctx)
	if origin, ok := c.Registry.Origin(key); ok {
		return finding{origin, streams.SourceLog}, nil
	}
	if err != nil {
		return unknown, refuse("no daemon knows the software version that began stream %s: %v", r.ID, err)
	}
	return unknown, refuse("no daemon knows the software version that began stream %s", r.ID)
}

// refuse returns the refusal of a stream that must not go on now.
func refuse(format string, args ...any) error {
	return azurehitch.Refuse(azurehitch.CodeNoCapacity, format, args...).WithRetryAfter(unknownRetryAfter)
}

// mayBeMixed reports whether servers of several software versions of one of the services may run now, or did a short
// time ago.
func (c *Client) mayBeMixed(ctx context.Context, services ...string) bool {
	return c.Registry.IsMixed(services...) ||
		slices.ContainsFunc(services, func(service string) bool { return c.MayBeMixed(ctx, service) })
}

// ask asks other daemons for the origin of the stream with a key. It returns the first answer that knows it, or
// else one that says whether any of them knows of several versions.
func (c *Client) ask(ctx context.Context, key streams.Key, request *peerpb.StreamVersionRequest) *peerpb.StreamVersionResponse {
	names := c.ranking(key, maxAsked)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan *peerpb.StreamVersionResponse, len(names))
	var group errgroup.Group
	for _, name := range names {
		group.Go(func() error {
			response, err := c.call(ctx, name, askTimeout, &peerpb.Request{Kind: &peerpb.Request_StreamVersion{StreamVersion: request}})
			if err != nil {
				answers <- nil
				return nil
			}
			answers <- response.GetStreamVersion()
			return nil
		})
	}
	unknown := &peerpb.StreamVersionResponse{}
	for range names {
		answer := <-answers
		if answer.GetKnown() {
			return answer
		}
		unknown.Mixed = unknown.Mixed || answer.GetMixed()
	}
	return unknown
}

// call calls another daemon, and passes it over for a while if it does not answer.
func (c *Client) call(ctx context.Context, name string, timeout time.Duration, request *peerpb.Request) (*peerpb.Response, error) {
	address, ok := c.Address(name)
	if !ok {
		return nil, errors.Errorf("no address of %s is known", name)
	}
	called, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	c.Metrics.Add(metrics.PeerCalls, 1)
	response, err := c.Peers.Call(called, address, request)
	if err != nil && ctx.Err() == nil {
		c.Metrics.Add(metrics.PeerErrors, 1)
		c.avoid(name)
	}
	return response, err
}

func (c *Client) avoid(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.avoidUntil[name] = c.Clock.Now().Add(avoidTime)
}

// ranking returns the first daemons in the ranking of a stream by rendezvous hashing, without this one
// and without those that are passed over.
func (c *Client) ranking(key streams.Key, count int) []string {
	c.mu.Lock()
	now := c.Clock.Now()
	names := slices.DeleteFunc(slices.Clone(c.Daemons()), func(name string) bool {
		return name == c.Self || now.Before(c.avoidUntil[name])
	})
	c.mu.Unlock()
	return firstRanked(strconv.FormatUint(uint64(key), 16), names, count)
}

func recordToProto(r streams.Record) *peerpb.StreamBegan {
	return &peerpb.StreamBegan{
		Key: uint64(r.ServiceKey), RequestKey: uint64(r.Key), Service: r.Service, Version: r.Version, Attempt: int32(r.Attempt),
	}
}

func recordsFromProto(message *peerpb.StreamsBegan) []streams.Record {
	var records []streams.Record
	for _, s := range message.GetStreams() {
		records = append(records, streams.Record{
			Key: streams.Key(s.GetRequestKey()), ServiceKey: streams.Key(s.GetKey()),
			Origin: streams.Origin{Service: s.GetService(), Version: s.GetVersion()}, Attempt: int(s.GetAttempt()),
		})
	}
	return records
}

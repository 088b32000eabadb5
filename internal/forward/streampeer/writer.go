package streampeer

import (
	"context"
	"slices"
	"time"

	"azurehitch/internal/forward/streams"
	"azurehitch/internal/peer/peerpb"
)

const (
	// logRanking is the text that ranks the daemons that write to the log.
	logRanking = "origins of streams"
	// logBatchTime is the time in which records are collected before they are given to the writer, and
	// logBatchTimePerDaemon what each daemon adds to it, which bounds the messages to the writer.
	logBatchTime          = 100 * time.Millisecond
	logBatchTimePerDaemon = 2500 * time.Microsecond
)

// runLogReports gives the queued records to the writer until the context ends.
func (c *Client) runLogReports(ctx context.Context) error {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return nil
		case <-c.Registry.WakeLog():
		}
		if c.Clock.Sleep(ctx, logBatchTime+time.Duration(len(c.Daemons()))*logBatchTimePerDaemon) != nil {
			return nil
		}
		if records := c.Registry.TakeUnlogged(); len(records) > 0 && !c.reportToWriter(ctx, records) {
			c.Registry.ReturnUnlogged(records)
		}
	}
	return nil
}

// reportToWriter gives records to the daemon that writes for all, the first in one ranking. A daemon that does not take
// them is replaced by the next one. It returns false if none of a few takes them.
func (c *Client) reportToWriter(ctx context.Context, records []streams.Record) (isTaken bool) {
	message := &peerpb.StreamsBegan{ForLog: true}
	for _, r := range records {
		message.Streams = append(message.Streams, recordToProto(r))
	}
	for _, name := range c.writers() {
		if c.isWriter(ctx, name, message, records) {
			return true
		}
		c.mu.Lock()
		c.avoidLogUntil[name] = c.Clock.Now().Add(avoidTime)
		c.mu.Unlock()
	}
	return false
}

// isWriter gives records to a daemon to be written, and reports whether it takes them.
func (c *Client) isWriter(ctx context.Context, name string, message *peerpb.StreamsBegan, records []streams.Record) bool {
	if name == c.Self {
		return c.Log.Add(records)
	}
	response, err := c.call(ctx, name, tellTimeout, &peerpb.Request{Kind: &peerpb.Request_StreamsBegan{StreamsBegan: message}})
	return err == nil && response.GetStreamVersion().GetWillLog()
}

// writers returns the first daemons in the ranking of those that write for all, without those that did not write a short
// time ago.
func (c *Client) writers() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Clock.Now()
	names := slices.DeleteFunc(slices.Clone(c.Daemons()), func(name string) bool {
		return now.Before(c.avoidUntil[name]) || now.Before(c.avoidLogUntil[name])
	})
	return firstRanked(logRanking, names, maxReports)
}

package allowancepeer

import (
	"azurehitch/internal/allowance/sharedlimit"
	"azurehitch/internal/telemetry/metrics"
)

// counts is what the metrics contain so far.
type counts struct {
	lender      sharedlimit.LenderCounts
	coordinator sharedlimit.CoordinatorCounts
}

// UpdateMetrics brings the metrics up to date.
func (c *Client) UpdateMetrics() {
	c.countsMu.Lock()
	defer c.countsMu.Unlock()
	c.mu.Lock()
	lender, keys := c.lender.Counts(), c.lender.KeyCount()
	c.mu.Unlock()
	c.coordinatorMu.Lock()
	coordinator, buckets, share := c.coordinator.Counts(), c.coordinator.BucketCount(), c.coordinator.LentShare(c.Clock.Now())
	c.coordinatorMu.Unlock()
	before := c.counted
	c.counted = counts{lender: lender, coordinator: coordinator}
	for label, totals := range map[string][2]float64{
		"Asked": {lender.Asked, before.lender.Asked}, "Granted": {lender.Granted, before.lender.Granted},
		"Expired": {lender.Expired, before.lender.Expired}, "Returned": {lender.Returned, before.lender.Returned},
		"Home": {lender.Home, before.lender.Home}, "Lost": {lender.Lost, before.lender.Lost},
		"AskedOfThis":   {coordinator.Asked, before.coordinator.Asked},
		"GrantedByThis": {coordinator.Granted, before.coordinator.Granted}, "ReturnedToThis": {coordinator.Returned, before.coordinator.Returned},
	} {
		if change := int64(totals[0]) - int64(totals[1]); change > 0 {
			c.Metrics.AddLabeled(metrics.AllowanceUnits, label, change)
		}
	}
	for label, change := range map[string]int64{
		"Sent": lender.Reports - before.lender.Reports, "Answered": lender.Answers - before.lender.Answers,
		"Failed": lender.Failures - before.lender.Failures, "Handled": coordinator.Answers - before.coordinator.Answers,
		"Stale": coordinator.Stale - before.coordinator.Stale,
	} {
		if change > 0 {
			c.Metrics.AddLabeled(metrics.AllowanceReports, label, change)
		}
	}
	c.Metrics.Add(metrics.AllowanceRefusals, lender.Refused-before.lender.Refused)
	const thousandths = 1000
	c.Metrics.Set(metrics.AllowanceShare, int64(share*thousandths))
	c.Metrics.Set(metrics.AllowancesKept, int64(keys+buckets))
}

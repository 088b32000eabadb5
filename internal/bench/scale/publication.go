package scale

import (
	"encoding/json"
	"time"

	"azurehitch"
	"azurehitch/internal/configuration/configlog"
	"azurehitch/internal/configuration/tables"
	"azurehitch/internal/oplog/control"

	"github.com/pkg/errors"
)

// PublicationCost is what publications cost at a size of the tables.
type PublicationCost struct {
	// Tables is the size of both tables as JSON, in bytes.
	Tables int
	// First is the size of the record that publishes them, One that of a record that
	// changes one pool, and Snapshot that of a snapshot, in bytes.
	First    int
	One      int
	Snapshot int
	// Fold is the time in which a daemon brings a change of one pool into force.
	Fold time.Duration
}

// MeasurePublication measures publications of tables of a size.
func MeasurePublication(size Size, clock azurehitch.Clock) (PublicationCost, error) {
	routes, pools := Tables(size, []string{"127.0.0.1:1"})
	var cost PublicationCost
	first, err := edit(configlog.State{}, routes, pools)
	if err != nil {
		return cost, err
	}
	state, verdict := configlog.State{}.Apply(1, first)
	if verdict != nil {
		return cost, verdict
	}
	pools.Pools[0].QueueLimit++
	one, err := edit(state, routes, pools)
	if err != nil {
		return cost, err
	}
	began := clock.Now()
	next, verdict := state.Apply(2, one)
	if verdict != nil {
		return cost, verdict
	}
	if _, err := next.Configuration(); err != nil {
		return cost, err
	}
	cost.Fold = clock.Now().Sub(began)
	cost.Tables = len(state.RouteTable()) + len(state.PoolTable())
	for _, record := range []struct {
		record control.Record
		into   *int
	}{
		{control.Record{Publication: &first}, &cost.First},
		{control.Record{Publication: &one}, &cost.One},
		{control.Record{Snapshot: &control.Snapshot{FoldedTo: 2, Configuration: next}}, &cost.Snapshot},
	} {
		payload, err := control.Encode(record.record)
		if err != nil {
			return cost, err
		}
		*record.into = len(payload)
	}
	return cost, nil
}

func edit(state configlog.State, routes tables.RouteTable, pools tables.PoolTable) (configlog.Publication, error) {
	routesText, err := json.Marshal(routes)
	if err != nil {
		return configlog.Publication{}, errors.Wrap(err, "encode routes")
	}
	poolsText, err := json.Marshal(pools)
	if err != nil {
		return configlog.Publication{}, errors.Wrap(err, "encode pools")
	}
	return state.Edit(routesText, poolsText, "bench")
}

package streamlog

import (
	"encoding/binary"
	"encoding/json"
	"math"

	"azurehitch/internal/forward/streams"

	"github.com/pkg/errors"
)

// batch is the value of a record in the stream.
type batch struct {
	// Sequence numbers the writes of a daemon.
	Sequence int64
	Groups   []group
}

// group is the streams with one origin.
type group struct {
	Service string
	Version string
	// Keys are the keys of the streams, eight bytes each, and Attempts holds a byte for each.
	Keys     []byte
	Attempts []byte
}

// keyBytes is the size of a key in a group.
const keyBytes = 8

var errKeysAndAttempts = errors.New("keys and attempts of a group don't match")

// encode returns the value of a record with origins.
func encode(sequence int64, records []streams.Record) ([]byte, error) {
	b := batch{Sequence: sequence}
	index := map[streams.Origin]int{}
	for _, r := range records {
		i, ok := index[r.Origin]
		if !ok {
			i = len(b.Groups)
			index[r.Origin] = i
			b.Groups = append(b.Groups, group{Service: r.Service, Version: r.Version})
		}
		g := &b.Groups[i]
		g.Keys = binary.BigEndian.AppendUint64(g.Keys, uint64(r.Key))
		g.Attempts = append(g.Attempts, byte(min(r.Attempt, math.MaxUint8)))
	}
	return json.Marshal(b)
}

// decode returns the sequence and the origins of a record.
func decode(value []byte) (sequence int64, records []streams.Record, err error) {
	var b batch
	if err := json.Unmarshal(value, &b); err != nil {
		return 0, nil, errors.Wrap(err, "decode origins of streams")
	}
	for _, g := range b.Groups {
		if len(g.Keys) != keyBytes*len(g.Attempts) {
			return 0, nil, errKeysAndAttempts
		}
		for i, attempt := range g.Attempts {
			records = append(records, streams.Record{
				Key:    streams.Key(binary.BigEndian.Uint64(g.Keys[keyBytes*i:])),
				Origin: streams.Origin{Service: g.Service, Version: g.Version}, Attempt: int(attempt),
			})
		}
	}
	return b.Sequence, records, nil
}

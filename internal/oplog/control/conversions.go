package control

import (
	"bytes"
	"compress/gzip"
	"io"
	"time"

	"azurehitch"
	"azurehitch/internal/configuration/configlog"
	"azurehitch/internal/configuration/tables"
	"azurehitch/internal/lease/leaselog"
	"azurehitch/internal/oplog/recordpb"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
)

// maxSnapshotTableBytes limits the decompressed size of the tables in a snapshot.
const maxSnapshotTableBytes = 3 * tables.MaxTableBytes

// Encode encodes a record as the payload of a log record. It returns an error if the record has no
// content.
func Encode(r Record) ([]byte, error) {
	message := &recordpb.Record{Holder: holderToProto(r.Writer), Sequence: r.Sequence}
	switch {
	case r.EraStart != nil:
		message.Kind = &recordpb.Record_EraStart{EraStart: &recordpb.EraStart{
			Era: r.EraStart.Era, Above: r.EraStart.Above, Gap: r.EraStart.Gap, First: r.EraStart.IsFirst,
			StartsOver: r.EraStart.StartsOver,
		}}
	case r.Publication != nil:
		message.Kind = &recordpb.Record_Publication{Publication: publicationToProto(*r.Publication)}
	case r.Claim != nil:
		message.Kind = &recordpb.Record_Claim{Claim: &recordpb.Claim{
			Pool: r.Claim.Pool, Seen: r.Claim.Seen, Era: r.Claim.Era, DurationMs: r.Claim.Duration.Milliseconds(),
		}}
	case r.Renewal:
		message.Kind = &recordpb.Record_Renewal{Renewal: &recordpb.Renewal{}}
	case r.Release != nil:
		message.Kind = &recordpb.Record_Release{Release: &recordpb.Release{Pool: r.Release.Pool, Token: r.Release.Token}}
	case r.Intent != nil:
		message.Kind = &recordpb.Record_Intent{Intent: intentToProto(*r.Intent)}
	case r.Resolution != nil:
		message.Kind = &recordpb.Record_Resolution{Resolution: &recordpb.Resolution{Pool: r.Resolution.Pool, Intent: r.Resolution.Intent}}
	case r.Emptied != nil:
		message.Kind = &recordpb.Record_Emptied{Emptied: emptiedToProto(*r.Emptied)}
	case r.History != nil:
		message.Kind = &recordpb.Record_History{History: historyToProto(*r.History)}
	case r.Snapshot != nil:
		snapshot, err := snapshotToProto(*r.Snapshot)
		if err != nil {
			return nil, err
		}
		message.Kind = &recordpb.Record_Snapshot{Snapshot: snapshot}
	default:
		return nil, errors.New("record without content")
	}
	payload, err := proto.Marshal(message)
	return payload, errors.Wrap(err, "encode record")
}

// encodeFiller encodes a record without content. Earlier releases ignore it as well.
func encodeFiller() ([]byte, error) {
	payload, err := proto.Marshal(&recordpb.Record{Sequence: 1})
	return payload, errors.Wrap(err, "encode filler")
}

// Decode decodes the payload of a log record. A record of a kind that this release doesn't know
// decodes without content, and the fold ignores it.
func Decode(payload []byte) (Record, error) {
	var message recordpb.Record
	if err := proto.Unmarshal(payload, &message); err != nil {
		return Record{}, errors.Wrap(err, "decode record")
	}
	r := Record{Writer: holderFromProto(message.Holder), Sequence: message.Sequence}
	switch kind := message.Kind.(type) {
	case *recordpb.Record_EraStart:
		r.EraStart = &leaselog.EraStart{
			Era: kind.EraStart.Era, Above: kind.EraStart.Above, Gap: kind.EraStart.Gap, IsFirst: kind.EraStart.First,
			StartsOver: kind.EraStart.StartsOver,
		}
	case *recordpb.Record_Publication:
		publication := publicationFromProto(kind.Publication)
		r.Publication = &publication
	case *recordpb.Record_Claim:
		r.Claim = &leaselog.Claim{
			Pool: kind.Claim.Pool, Seen: kind.Claim.Seen, Era: kind.Claim.Era, Duration: milliseconds(kind.Claim.DurationMs),
		}
	case *recordpb.Record_Renewal:
		r.Renewal = true
	case *recordpb.Record_Release:
		r.Release = &leaselog.Release{Pool: kind.Release.Pool, Token: kind.Release.Token}
	case *recordpb.Record_Intent:
		intent := intentFromProto(kind.Intent)
		r.Intent = &intent
	case *recordpb.Record_Resolution:
		r.Resolution = &leaselog.Resolution{Pool: kind.Resolution.Pool, Intent: kind.Resolution.Intent}
	case *recordpb.Record_Emptied:
		emptied := emptiedFromProto(kind.Emptied)
		r.Emptied = &emptied
	case *recordpb.Record_History:
		history := historyFromProto(kind.History)
		r.History = &history
	case *recordpb.Record_Snapshot:
		snapshot, err := snapshotFromProto(kind.Snapshot)
		if err != nil {
			return Record{}, err
		}
		r.Snapshot = &snapshot
	}
	return r, nil
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

func holderToProto(h leaselog.Holder) *recordpb.Holder {
	if (h == leaselog.Holder{}) {
		return nil
	}
	return &recordpb.Holder{Daemon: h.Daemon, Incarnation: h.Incarnation}
}

func holderFromProto(h *recordpb.Holder) leaselog.Holder {
	return leaselog.Holder{Daemon: h.GetDaemon(), Incarnation: h.GetIncarnation()}
}

func publicationToProto(p configlog.Publication) *recordpb.Publication {
	message := &recordpb.Publication{
		Base: p.Base, Changes: changesToProto(p.Changes), Author: p.Author, Digest: p.Digest, Retired: retiredToProto(p.Retired),
	}
	for _, key := range p.Restored {
		message.Restored = append(message.Restored, &recordpb.RestoredServer{Pool: key.Pool, Server: key.Server})
	}
	return message
}

func publicationFromProto(p *recordpb.Publication) configlog.Publication {
	publication := configlog.Publication{
		Base: p.GetBase(), Changes: changesFromProto(p.GetChanges()), Author: p.GetAuthor(), Digest: p.GetDigest(),
		Retired: retiredFromProto(p.GetRetired()),
	}
	for _, key := range p.GetRestored() {
		publication.Restored = append(publication.Restored, configlog.RetiredKey{Pool: key.GetPool(), Server: key.GetServer()})
	}
	return publication
}

func changesToProto(changes []configlog.Change) []*recordpb.TableEntry {
	var messages []*recordpb.TableEntry
	for _, c := range changes {
		messages = append(messages, &recordpb.TableEntry{Table: string(c.Table), Name: c.Name, Json: c.JSON})
	}
	return messages
}

func changesFromProto(messages []*recordpb.TableEntry) []configlog.Change {
	var changes []configlog.Change
	for _, m := range messages {
		changes = append(changes, configlog.Change{
			Table: configlog.Table(m.GetTable()), Entry: configlog.Entry{Name: m.GetName(), JSON: m.GetJson()},
		})
	}
	return changes
}

// compressEntries encodes and compresses all table entries. They are highly repetitive.
func compressEntries(entries configlog.Entries) ([]byte, error) {
	all := configlog.Entries{}.ChangesTo(entries)
	encoded, err := proto.Marshal(&recordpb.TableEntries{Entries: changesToProto(all)})
	if err != nil {
		return nil, errors.Wrap(err, "encode tables")
	}
	var compressed bytes.Buffer
	w := gzip.NewWriter(&compressed)
	if _, err := w.Write(encoded); err != nil {
		return nil, errors.Wrap(err, "compress tables")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "compress tables")
	}
	return compressed.Bytes(), nil
}

func decompressEntries(compressed []byte) (configlog.Entries, error) {
	r, err := gzip.NewReader(bytes.NewReader(compressed))
	if err != nil {
		return configlog.Entries{}, errors.Wrap(err, "decompress tables")
	}
	encoded, err := io.ReadAll(io.LimitReader(r, maxSnapshotTableBytes+1))
	if err != nil || len(encoded) > maxSnapshotTableBytes {
		return configlog.Entries{}, errors.Errorf("decompress tables: %d bytes, %v", len(encoded), err)
	}
	var message recordpb.TableEntries
	if err := proto.Unmarshal(encoded, &message); err != nil {
		return configlog.Entries{}, errors.Wrap(err, "decode tables")
	}
	return configlog.Entries{}.With(changesFromProto(message.GetEntries())), nil
}

func retiredToProto(servers []configlog.Retired) []*recordpb.RetiredServer {
	var messages []*recordpb.RetiredServer
	for _, r := range servers {
		messages = append(messages, &recordpb.RetiredServer{
			Pool: r.Pool, Server: r.Server.Name, Address: r.Server.Address, FailureDomain: r.Server.FailureDomain,
			FencingToken: string(r.Server.FencingToken), AcceleratorMemory: int64(r.Server.AcceleratorMemory), Since: r.Since,
		})
	}
	return messages
}

func retiredFromProto(messages []*recordpb.RetiredServer) []configlog.Retired {
	var servers []configlog.Retired
	for _, m := range messages {
		servers = append(servers, configlog.Retired{
			Pool: m.GetPool(), Since: m.GetSince(),
			Server: tables.BackendServer{
				Name: m.GetServer(), Address: m.GetAddress(), FailureDomain: m.GetFailureDomain(),
				FencingToken: tables.TokenCheck(m.GetFencingToken()), AcceleratorMemory: azurehitch.ByteSize(m.GetAcceleratorMemory()),
			},
		})
	}
	return servers
}

func historyToProto(h PoolHistory) *recordpb.PoolHistory {
	return &recordpb.PoolHistory{Pool: h.Pool, Token: h.Token, Learned: h.Learned}
}

func historyFromProto(m *recordpb.PoolHistory) PoolHistory {
	return PoolHistory{Pool: m.GetPool(), Token: m.GetToken(), Learned: m.GetLearned()}
}

func emptiedToProto(e configlog.Emptied) *recordpb.Emptied {
	return &recordpb.Emptied{Pool: e.Pool, Server: e.Server, Token: e.Token, Since: e.Since}
}

func emptiedFromProto(m *recordpb.Emptied) configlog.Emptied {
	return configlog.Emptied{
		RetiredKey: configlog.RetiredKey{Pool: m.GetPool(), Server: m.GetServer()}, Token: m.GetToken(), Since: m.GetSince(),
	}
}

func intentToProto(i leaselog.Intent) *recordpb.Intent {
	return &recordpb.Intent{
		Pool: i.Pool, Token: i.Token, Server: i.Server, Incarnation: i.Incarnation, Memory: int64(i.Memory),
		Model: i.Artifact.Model, Version: i.Artifact.Version, Adapter: i.Artifact.Adapter,
	}
}

func intentFromProto(i *recordpb.Intent) leaselog.Intent {
	return leaselog.Intent{
		Pool: i.GetPool(), Token: i.GetToken(), Server: i.GetServer(), Incarnation: i.GetIncarnation(),
		Artifact: azurehitch.Artifact{Model: i.GetModel(), Version: i.GetVersion(), Adapter: i.GetAdapter()},
		Memory:   azurehitch.ByteSize(i.GetMemory()),
	}
}

func snapshotToProto(s Snapshot) (*recordpb.Snapshot, error) {
	compressed, err := compressEntries(s.Configuration.Entries)
	if err != nil {
		return nil, err
	}
	message := &recordpb.Snapshot{
		FoldedTo:             s.FoldedTo,
		LogEra:               s.LogEra,
		Era:                  s.Era,
		EraStartedAt:         s.EraStartedAt,
		StartedOver:          s.StartedOver,
		ConfigurationVersion: s.Configuration.Version,
		ConfigurationAuthor:  s.Configuration.Author,
		ConfigurationGzip:    compressed,
		Retired:              retiredToProto(s.Configuration.Retired),
	}
	for _, l := range s.Leases {
		message.Leases = append(message.Leases, &recordpb.PoolLease{
			Pool: l.Pool, Holder: holderToProto(l.Holder), Token: l.Token, Last: l.LastOffset, DurationMs: l.Duration.Milliseconds(),
		})
	}
	for _, h := range s.Histories {
		message.Histories = append(message.Histories, historyToProto(h))
	}
	for _, i := range s.Intents {
		message.Intents = append(message.Intents, &recordpb.OpenIntent{Offset: i.Offset, Intent: intentToProto(i)})
	}
	return message, nil
}

func snapshotFromProto(s *recordpb.Snapshot) (Snapshot, error) {
	entries, err := decompressEntries(s.GetConfigurationGzip())
	if err != nil {
		return Snapshot{}, err
	}
	snapshot := Snapshot{
		FoldedTo:     s.GetFoldedTo(),
		LogEra:       s.GetLogEra(),
		Era:          s.GetEra(),
		EraStartedAt: s.GetEraStartedAt(),
		StartedOver:  s.GetStartedOver(),
		Configuration: configlog.State{
			Version: s.GetConfigurationVersion(), Author: s.GetConfigurationAuthor(), Entries: entries,
			Retired: retiredFromProto(s.GetRetired()),
		},
	}
	for _, l := range s.GetLeases() {
		snapshot.Leases = append(snapshot.Leases, leaselog.Lease{
			Pool: l.GetPool(), Holder: holderFromProto(l.GetHolder()), Token: l.GetToken(), LastOffset: l.GetLast(),
			Duration: milliseconds(l.GetDurationMs()),
		})
	}
	for _, h := range s.GetHistories() {
		snapshot.Histories = append(snapshot.Histories, historyFromProto(h))
	}
	for _, openIntent := range s.GetIntents() {
		intent := intentFromProto(openIntent.GetIntent())
		intent.Offset = openIntent.GetOffset()
		snapshot.Intents = append(snapshot.Intents, intent)
	}
	return snapshot, nil
}

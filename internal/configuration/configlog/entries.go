package configlog

import (
	"bytes"
	"encoding/json"
	"slices"

	"github.com/pkg/errors"
)

// Table is the name of a list of entries in the two tables that operators publish.
type Table string

// The lists. Callers and Routes belong to the table of routes, and Pools to the table of pools.
const (
	TableCallers Table = "Callers"
	TableRoutes  Table = "Routes"
	TablePools   Table = "Pools"
)

// Entry is one entry of a list: the operator's JSON without insignificant white space.
type Entry struct {
	Name string
	JSON []byte
}

// Change replaces or adds the entry of a name, or removes the entry if JSON is empty.
type Change struct {
	Table Table
	Entry
}

// Entries are the entries of both tables in table order. It is immutable.
type Entries struct {
	Callers []Entry
	Routes  []Entry
	Pools   []Entry
}

// ParseEntries splits two tables into their entries. It does not validate them.
func ParseEntries(routes, pools []byte) (Entries, error) {
	var routeTable struct{ Callers, Routes []json.RawMessage }
	var poolTable struct{ Pools []json.RawMessage }
	if err := json.Unmarshal(routes, &routeTable); err != nil {
		return Entries{}, errors.Wrap(err, "routes")
	}
	if err := json.Unmarshal(pools, &poolTable); err != nil {
		return Entries{}, errors.Wrap(err, "pools")
	}
	var e Entries
	for _, list := range []struct {
		from []json.RawMessage
		into *[]Entry
	}{{routeTable.Callers, &e.Callers}, {routeTable.Routes, &e.Routes}, {poolTable.Pools, &e.Pools}} {
		for _, text := range list.from {
			entry, err := parseEntry(text)
			if err != nil {
				return Entries{}, err
			}
			*list.into = append(*list.into, entry)
		}
	}
	return e, nil
}

func parseEntry(text []byte) (Entry, error) {
	var named struct{ Name string }
	if err := json.Unmarshal(text, &named); err != nil {
		return Entry{}, errors.Wrap(err, "entry")
	}
	var compact bytes.Buffer
	if err := json.Compact(&compact, text); err != nil {
		return Entry{}, errors.Wrap(err, "entry")
	}
	return Entry{Name: named.Name, JSON: compact.Bytes()}, nil
}

// list returns a list by its name, or nil if this release doesn't know the name.
func (e *Entries) list(table Table) *[]Entry {
	switch table {
	case TableCallers:
		return &e.Callers
	case TableRoutes:
		return &e.Routes
	case TablePools:
		return &e.Pools
	}
	return nil
}

// With returns the entries after some changes. Changed entries keep their position, and new
// entries are appended. Changes of lists that this release doesn't know are ignored.
func (e Entries) With(changes []Change) Entries {
	e.Callers, e.Routes, e.Pools = slices.Clone(e.Callers), slices.Clone(e.Routes), slices.Clone(e.Pools)
	indexes := map[Table]map[string]int{}
	for _, change := range changes {
		list := e.list(change.Table)
		if list == nil {
			continue
		}
		if indexes[change.Table] == nil {
			indexes[change.Table] = indexByName(*list)
		}
		if i, known := indexes[change.Table][change.Name]; known {
			(*list)[i] = change.Entry
			continue
		}
		indexes[change.Table][change.Name] = len(*list)
		*list = append(*list, change.Entry)
	}
	for _, table := range []Table{TableCallers, TableRoutes, TablePools} {
		list := e.list(table)
		*list = slices.DeleteFunc(*list, func(entry Entry) bool { return len(entry.JSON) == 0 })
	}
	return e
}

// indexByName maps the name of each entry to its index in the list.
func indexByName(list []Entry) map[string]int {
	indexes := map[string]int{}
	for i, entry := range list {
		indexes[entry.Name] = i
	}
	return indexes
}

// ChangesTo returns the changes that turn these entries into others, apart from their order.
func (e Entries) ChangesTo(after Entries) []Change {
	var changes []Change
	for _, table := range []Table{TableCallers, TableRoutes, TablePools} {
		before, next := *e.list(table), *after.list(table)
		indexes, nextIndexes := indexByName(before), indexByName(next)
		for _, entry := range next {
			if i, known := indexes[entry.Name]; !known || !bytes.Equal(before[i].JSON, entry.JSON) {
				changes = append(changes, Change{Table: table, Entry: entry})
			}
		}
		for _, entry := range before {
			if _, found := nextIndexes[entry.Name]; !found {
				changes = append(changes, Change{Table: table, Entry: Entry{Name: entry.Name}})
			}
		}
	}
	return changes
}

// RouteTable returns the table of routes as JSON.
func (e Entries) RouteTable() []byte {
	return renderTable(namedList{TableCallers, e.Callers}, namedList{TableRoutes, e.Routes})
}

// PoolTable returns the table of pools as JSON.
func (e Entries) PoolTable() []byte { return renderTable(namedList{TablePools, e.Pools}) }

type namedList struct {
	name    Table
	entries []Entry
}

// renderTable writes lists of entries as one JSON object.
func renderTable(lists ...namedList) []byte {
	var text bytes.Buffer
	for i, list := range lists {
		if i == 0 {
			text.WriteByte('{')
		} else {
			text.WriteByte(',')
		}
		text.WriteString(`"` + string(list.name) + `":[`)
		for j, entry := range list.entries {
			if j > 0 {
				text.WriteByte(',')
			}
			text.Write(entry.JSON)
		}
		text.WriteByte(']')
	}
	text.WriteByte('}')
	return text.Bytes()
}

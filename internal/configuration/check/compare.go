package check

import (
	"cmp"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"azurehitch"
)

// DifferenceKind says how an entry or a field differs from the table in force.
type DifferenceKind string

// The kinds of differences.
const (
	DifferenceAdded   DifferenceKind = "Added"
	DifferenceRemoved DifferenceKind = "Removed"
	DifferenceChanged DifferenceKind = "Changed"
)

// Difference is an entry that only one of two tables has, or a field that differs.
type Difference struct {
	Kind DifferenceKind
	// Field is the path of the field, with the names of entries instead of their numbers.
	Field string
	// Old and New are the values of a changed field.
	Old string `json:",omitempty"`
	New string `json:",omitempty"`
}

// Compare returns what a table changes, in the order of the fields. Versions are not compared, and the keys of
// accounts are not shown.
func Compare(decoder Decoder, current, next azurehitch.RoutingTable) []Difference {
	f := flattener{decoder: decoder}
	before, after := f.table(current), f.table(next)
	var differences []Difference
	for _, entry := range slices.Sorted(maps.Keys(union(before, after))) {
		old, isOld := before[entry]
		fields, isNew := after[entry]
		switch {
		case !isOld:
			differences = append(differences, Difference{Kind: DifferenceAdded, Field: entry})
		case !isNew:
			differences = append(differences, Difference{Kind: DifferenceRemoved, Field: entry})
		default:
			differences = append(differences, changes(entry, old, fields)...)
		}
	}
	return differences
}

// changes returns the fields of an entry that differ.
func changes(entry string, old, fields map[string]string) []Difference {
	var changed []Difference
	for _, field := range slices.Sorted(maps.Keys(union(old, fields))) {
		if old[field] != fields[field] {
			changed = append(changed, Difference{
				Kind: DifferenceChanged, Field: entry + "." + field,
				Old: cmp.Or(old[field], "none"), New: cmp.Or(fields[field], "none"),
			})
		}
	}
	return changed
}

func union[V any](a, b map[string]V) map[string]bool {
	all := map[string]bool{}
	for key := range a {
		all[key] = true
	}
	for key := range b {
		all[key] = true
	}
	return all
}

// flattener turns the entries of tables into fields with text values.
type flattener struct{ decoder Decoder }

// table returns the fields of each entry, by the path of the entry.
func (f flattener) table(t azurehitch.RoutingTable) map[string]map[string]string {
	entries := map[string]map[string]string{f.decoder.FieldName("Limits"): f.fields(t.Limits)}
	add := func(list, name string, entry any) {
		path := f.decoder.FieldName(list) + "[" + strconv.Quote(name) + "]"
		for n := 2; entries[path] != nil; n++ {
			path = f.decoder.FieldName(list) + "[" + strconv.Quote(name) + " " + strconv.Itoa(n) + "]"
		}
		entries[path] = f.fields(entry)
	}
	for _, r := range t.Routes {
		add("Routes", r.Name, r)
	}
	for _, name := range slices.Sorted(maps.Keys(t.Services)) {
		add("Services", name, t.Services[name])
	}
	for _, a := range t.Accounts {
		add("Accounts", a.Name, a)
	}
	return entries
}

// fields returns the fields of a value that are not zero, by their paths.
func (f flattener) fields(value any) map[string]string {
	fields := map[string]string{}
	f.add(fields, "", reflect.ValueOf(value))
	return fields
}

func (f flattener) add(fields map[string]string, path string, v reflect.Value) {
	if !v.IsValid() || v.IsZero() {
		return
	}
	switch value := v.Interface().(type) {
	case azurehitch.HedgeShare:
		fields[path] = fmt.Sprint(value.Share)
		return
	case time.Duration:
		fields[path] = value.String()
		return
	case azurehitch.ByteSize:
		fields[path] = fmt.Sprintf("%d bytes", int64(value))
		return
	case []azurehitch.KeyHash:
		fields[path] = fmt.Sprintf("%d keys (%s)", len(value), keysDigest(value))
		return
	}
	switch v.Kind() {
	case reflect.Pointer:
		f.add(fields, path, v.Elem())
	case reflect.Struct:
		for _, field := range reflect.VisibleFields(v.Type()) {
			if !field.Anonymous && field.Name != "Position" && field.Name != "Faults" {
				f.add(fields, strings.TrimPrefix(path+"."+f.decoder.FieldName(field.Name), "."), v.FieldByIndex(field.Index))
			}
		}
	case reflect.Map:
		for _, key := range v.MapKeys() {
			element := path + "[" + strconv.Quote(key.String()) + "]"
			fields[element] = "present"
			f.add(fields, element, v.MapIndex(key))
		}
	case reflect.Slice:
		for i := range v.Len() {
			f.add(fields, path+"["+strconv.Itoa(i)+"]", v.Index(i))
		}
	default:
		fields[path] = fmt.Sprint(v.Interface())
	}
}

// keysDigest returns a short text that differs for two sets of keys, from which no key can be found.
func keysDigest(keys []azurehitch.KeyHash) string {
	sorted := slices.SortedFunc(slices.Values(keys), func(a, b azurehitch.KeyHash) int { return slices.Compare(a[:], b[:]) })
	var all []byte
	for _, key := range sorted {
		all = append(all, key[:]...)
	}
	digest := azurehitch.HashKey(all)
	const shownBytes = 4
	return fmt.Sprintf("%x", digest[:shownBytes])
}

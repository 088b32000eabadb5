package platformlog

import "slices"

// Copy is a copy of the records of a log at a moment.
type Copy struct{ streams map[string]stream }

// Copy returns a copy of all records.
func (l *Log) Copy() Copy {
	l.mu.Lock()
	defer l.mu.Unlock()
	older := Copy{streams: map[string]stream{}}
	for name, s := range l.streams {
		older.streams[name] = stream{first: s.first, records: slices.Clone(s.records)}
	}
	return older
}

// Restore replaces all records by those of an older copy, and begins the next era. What was appended since
// the copy is lost, and its offsets are given out again.
func (l *Log) Restore(older Copy) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.era++
	for name, s := range l.streams {
		copied, ok := older.streams[name]
		if !ok {
			copied = stream{first: 1}
		}
		s.first, s.records = copied.first, slices.Clone(copied.records)
		close(s.appended)
		s.appended = make(chan struct{})
	}
}

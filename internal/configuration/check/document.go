package check

import (
	"bytes"
	"encoding/json"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// document is the structure of a JSON text. Values have paths such as "routes[2].timeout".
type document struct {
	text  []byte
	spans []span
	// lines holds the line of each value by its path, and strings the values that are strings.
	lines   map[string]int
	strings map[string]string
	// repeated holds the paths of fields that an object has more than once.
	repeated []string
}

// span is the place of a value in the text.
type span struct {
	path       string
	start, end int
}

// parse returns the structure of a text. The error is an *ErrSyntax.
func parse(text []byte) (*document, error) {
	d := &document{text: text, lines: map[string]int{}, strings: map[string]string{}}
	var root any
	if err := json.Unmarshal(text, &root); err != nil {
		offset := len(text)
		var syntax *json.SyntaxError
		if errors.As(err, &syntax) {
			offset = int(syntax.Offset)
		}
		return nil, &ErrSyntax{Line: d.lineAt(offset), Cause: err}
	}
	w := &walker{document: d, decoder: json.NewDecoder(bytes.NewReader(text))}
	w.decoder.UseNumber()
	if err := w.value(""); err != nil {
		return nil, &ErrSyntax{Line: d.lineAt(w.offset()), Cause: err}
	}
	return d, nil
}

// lineAt returns the line of an offset, from 1.
func (d *document) lineAt(offset int) int {
	return 1 + bytes.Count(d.text[:min(offset, len(d.text))], []byte("\n"))
}

// line returns the line of a field, or of the nearest value around it.
func (d *document) line(field string) int {
	for field != "" {
		if line, ok := d.lines[field]; ok {
			return line
		}
		field = field[:max(strings.LastIndexAny(field, ".["), 0)]
	}
	return d.lines[""]
}

// element returns the path of the last element of a list whose field has a value.
func (d *document) element(list, field, value string) string {
	found := list
	for i := 0; d.lines[list+"["+strconv.Itoa(i)+"]"] > 0; i++ {
		if element := list + "[" + strconv.Itoa(i) + "]"; d.strings[element+"."+field] == value {
			found = element
		}
	}
	return found
}

// valueAt returns the innermost value that contains the byte before an offset.
func (d *document) valueAt(offset int) (span, bool) {
	found, ok := span{}, false
	for _, s := range d.spans {
		if s.start < offset && offset <= s.end && (!ok || s.end-s.start < found.end-found.start) {
			found, ok = s, true
		}
	}
	return found, ok
}

// withoutValue returns the text with null instead of a value. Lines keep their numbers.
func (d *document) withoutValue(s span) []byte {
	lines := bytes.Count(d.text[s.start:s.end], []byte("\n"))
	text := append([]byte{}, d.text[:s.start]...)
	text = append(text, "null"+strings.Repeat("\n", lines)...)
	return append(text, d.text[s.end:]...)
}

// walker reads the values of a text in order.
type walker struct {
	*document
	decoder *json.Decoder
}

func (w *walker) offset() int { return int(w.decoder.InputOffset()) }

// value reads one value.
func (w *walker) value(path string) error {
	start := w.offset()
	for start < len(w.text) && strings.IndexByte(" \t\r\n,:", w.text[start]) >= 0 {
		start++
	}
	token, err := w.decoder.Token()
	if err != nil {
		return err
	}
	w.lines[path] = w.lineAt(start)
	switch token := token.(type) {
	case string:
		w.strings[path] = token
	case json.Delim:
		if token == '{' {
			err = w.object(path)
		} else {
			err = w.list(path)
		}
	}
	w.spans = append(w.spans, span{path: path, start: start, end: w.offset()})
	return err
}

func (w *walker) object(path string) error {
	seen := map[string]bool{}
	for w.decoder.More() {
		token, err := w.decoder.Token()
		if err != nil {
			return err
		}
		// The key of an object is always a text.
		field := strings.TrimPrefix(path+"."+token.(string), ".")
		if seen[field] {
			w.repeated = append(w.repeated, field)
		}
		seen[field] = true
		if err := w.value(field); err != nil {
			return err
		}
	}
	_, err := w.decoder.Token()
	return err
}

func (w *walker) list(path string) error {
	for i := 0; w.decoder.More(); i++ {
		if err := w.value(path + "[" + strconv.Itoa(i) + "]"); err != nil {
			return err
		}
	}
	_, err := w.decoder.Token()
	return err
}

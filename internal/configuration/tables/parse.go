package tables

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"regexp"
	"strings"

	"github.com/pkg/errors"
)

// MaxTableBytes is the size limit of one table.
const MaxTableBytes = 8 << 20

// Mistake is one error in a table.
type Mistake struct {
	// Place is a path such as Pools.Pools[2].Models[0].MaxReplicas, or a table with a line and
	// a column.
	Place  string
	Reason string
}

// ErrTables lists the mistakes in a pair of tables.
type ErrTables struct{ Mistakes []Mistake }

// Error implements error.
func (e *ErrTables) Error() string {
	lines := make([]string, 0, len(e.Mistakes))
	for _, m := range e.Mistakes {
		lines = append(lines, m.Place+": "+m.Reason)
	}
	return strings.Join(lines, "; ")
}

// Parse decodes and validates both tables. The error is an *ErrTables.
func Parse(routes, pools []byte) (Configuration, error) {
	var c Configuration
	if err := decodeStrict("Routes", routes, &c.Routes); err != nil {
		return Configuration{}, err
	}
	if err := decodeStrict("Pools", pools, &c.Pools); err != nil {
		return Configuration{}, err
	}
	if mistakes := validate(c); len(mistakes) > 0 {
		return Configuration{}, &ErrTables{Mistakes: mistakes}
	}
	return c, nil
}

// ParseLenient decodes tables without validating them. They were validated before they were
// published, perhaps by another release, so unknown fields are ignored.
func ParseLenient(routes, pools []byte) (Configuration, error) {
	var c Configuration
	if err := json.Unmarshal(routes, &c.Routes); err != nil {
		return Configuration{}, errors.Wrap(err, "routes")
	}
	if err := json.Unmarshal(pools, &c.Pools); err != nil {
		return Configuration{}, errors.Wrap(err, "pools")
	}
	return c, nil
}

// decodeStrict decodes a table. Unknown fields and text after the table are mistakes.
func decodeStrict(table string, text []byte, into any) error {
	if len(text) > MaxTableBytes {
		return mistake(table, fmt.Sprintf("larger than %d bytes", MaxTableBytes))
	}
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return mistake(textPosition(table, text, errorOffset(decoder, text, err)), err.Error())
	}
	if _, err := decoder.Token(); err != io.EOF {
		return mistake(textPosition(table, text, decoder.InputOffset()), "more text after the table")
	}
	return nil
}

func mistake(place, reason string) *ErrTables {
	return &ErrTables{Mistakes: []Mistake{{Place: place, Reason: reason}}}
}

// unknownField matches the error of encoding/json for an unknown field, which has no type of
// its own.
var unknownField = regexp.MustCompile(`unknown field ("[^"]*")`)

// errorOffset returns the byte offset in a table at which its decoding failed.
func errorOffset(decoder *json.Decoder, text []byte, err error) int64 {
	if field := unknownField.FindStringSubmatch(err.Error()); field != nil {
		key := regexp.MustCompile(regexp.QuoteMeta(field[1]) + `\s*:`)
		if match := key.FindIndex(text); match != nil {
			return int64(match[0])
		}
	}
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		return syntax.Offset
	}
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		return wrongType.Offset
	}
	return decoder.InputOffset()
}

// textPosition returns an offset in the text of a table as its line and column.
func textPosition(table string, text []byte, offset int64) string {
	before := text[:min(offset, int64(len(text)))]
	line := bytes.Count(before, []byte("\n")) + 1
	column := len(before) - bytes.LastIndexByte(before, '\n')
	return fmt.Sprintf("%s line %d column %d", table, line, column)
}

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

// MaxTableBytes bounds the size of one table.
const MaxTableBytes = 8 << 20

// Mistake is one thing wrong in a table.
type Mistake struct {
	// Place is such as Pools[2].Models[0].MaxReplicas, or a line and column.
	Place  string
	Reason string
}

// ErrTables lists what is wrong with a pair of tables.
type ErrTables struct{ Mistakes []Mistake }

// Error implements error.
func (e *ErrTables) Error() string {
	lines := make([]string, 0, len(e.Mistakes))
	for _, m := range e.Mistakes {
		lines = append(lines, m.Place+": "+m.Reason)
	}
	return strings.Join(lines, "; ")
}

// Parse reads and checks both tables. The error is an *ErrTables.
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

// ParseLenient reads tables that an earlier check accepted, perhaps of another
// release: unknown fields are passed over.
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

func decodeStrict(table string, text []byte, into any) error {
	if len(text) > MaxTableBytes {
		return mistake(table, fmt.Sprintf("larger than %d bytes", MaxTableBytes))
	}
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return mistake(place(table, text, decodeOffset(decoder, text, err)), err.Error())
	}
	if _, err := decoder.Token(); err != io.EOF {
		return mistake(place(table, text, decoder.InputOffset()), "more text after the table")
	}
	return nil
}

func mistake(where, reason string) *ErrTables {
	return &ErrTables{Mistakes: []Mistake{{Place: where, Reason: reason}}}
}

// unknownField matches the error of the JSON library, which has no type for it.
var unknownField = regexp.MustCompile(`unknown field ("[^"]*")`)

func decodeOffset(decoder *json.Decoder, text []byte, err error) int64 {
	if field := unknownField.FindStringSubmatch(err.Error()); field != nil {
		key := regexp.MustCompile(regexp.QuoteMeta(field[1]) + `\s*:`)
		if at := key.FindIndex(text); at != nil {
			return int64(at[0])
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

func place(table string, text []byte, offset int64) string {
	before := text[:min(offset, int64(len(text)))]
	line := bytes.Count(before, []byte("\n")) + 1
	column := len(before) - bytes.LastIndexByte(before, '\n')
	return fmt.Sprintf("%s line %d column %d", table, line, column)
}

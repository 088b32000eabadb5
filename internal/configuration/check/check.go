// Package check finds the errors in a routing table before operators send it, and what it changes.
//
// # Usage
//
//	table, problems, err := check.Check(decoder, text)
//	problems = append(problems, check.Version(decoder, text, table, current)...)
//	differences := check.Compare(decoder, current, table)
//
// All problems are found at once, each with its field as it is named in the text. The decoder is the one that
// daemons use, so that what it accepts and how it reads it is the same here.
package check

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"azurehitch"

	"github.com/pkg/errors"
)

// Decoder decodes routing tables in JSON.
type Decoder interface {
	azurehitch.RoutingDecoder
	// FieldName returns the name in the text of a field of azurehitch.RoutingTable or of a type in it.
	FieldName(field string) string
}

// Problem is an error in a table.
type Problem struct {
	// Field is the path of the field in the text.
	Field string
	// Line is the line of the field, or of the object that lacks it; 0 if the text has neither.
	Line   int
	Reason string
}

// ErrSyntax reports a text that is not JSON.
type ErrSyntax struct {
	Line  int
	Cause error
}

// Error implements error.
func (e *ErrSyntax) Error() string { return fmt.Sprintf("line %d: %v", e.Line, e.Cause) }

// Unwrap returns the cause.
func (e *ErrSyntax) Unwrap() error { return e.Cause }

// maxTypeErrors bounds the fields of a wrong type that are found in one text.
const maxTypeErrors = 200

// Check decodes a table and returns its problems in the order of their lines. The error is an *ErrSyntax.
func Check(decoder Decoder, text []byte) (azurehitch.RoutingTable, []Problem, error) {
	doc, err := parse(text)
	if err != nil {
		return azurehitch.RoutingTable{}, nil, err
	}
	c := &checker{decoder: decoder, doc: doc, reported: map[string]bool{}}
	for _, path := range doc.repeated {
		c.report(path, "is there more than once; the last one counts")
	}
	table := c.decode(text)
	for _, fault := range table.Faults {
		c.report(fault.Field, fault.Reason)
	}
	c.checkRoutes(table)
	c.checkServices(table)
	c.checkLimits(table.Limits)
	c.checkAccounts(table.Accounts)
	slices.SortStableFunc(c.problems, func(a, b Problem) int { return cmp.Compare(a.Line, b.Line) })
	return table, c.problems, nil
}

// Version returns the problem of a table that can't replace the one in force, if there is one.
func Version(decoder Decoder, text []byte, table, current azurehitch.RoutingTable) []Problem {
	if table.Version <= 0 || table.Version > current.Version {
		return nil
	}
	doc, err := parse(text)
	if err != nil {
		return nil
	}
	c := &checker{decoder: decoder, doc: doc, reported: map[string]bool{}}
	c.add("", "Version", "%d is not higher than %d, which is in force: it will not come into force", table.Version, current.Version)
	return c.problems
}

// checker collects the problems of a table.
type checker struct {
	decoder  Decoder
	doc      *document
	problems []Problem
	// reported holds the fields with a problem. A field has one problem: a second one would follow from the first.
	reported map[string]bool
}

// add reports a problem of a field of an object, whose path in the text is given; an empty one is that of the table.
func (c *checker) add(object, field, format string, args ...any) {
	c.report(c.path(object, field), fmt.Sprintf(format, args...))
}

// path returns the path in the text of a field of an object.
func (c *checker) path(object, field string) string {
	return strings.TrimPrefix(object+"."+c.decoder.FieldName(field), ".")
}

// element returns the path in the text of an element of a list of an object.
func (c *checker) element(object, list string, i int) string {
	return c.path(object, list) + "[" + strconv.Itoa(i) + "]"
}

// require reports a problem unless a condition holds.
func (c *checker) require(ok bool, object, field, format string, args ...any) {
	if !ok {
		c.add(object, field, format, args...)
	}
}

// report reports a problem of a field by its path in the text.
func (c *checker) report(field, reason string) {
	if c.reported[field] {
		return
	}
	c.reported[field] = true
	c.problems = append(c.problems, Problem{Field: field, Line: c.doc.line(field), Reason: reason})
}

// decode decodes the table. Values of a wrong type are reported, and decoded again as absent ones, so that all of
// them are found.
func (c *checker) decode(text []byte) azurehitch.RoutingTable {
	for range maxTypeErrors {
		table, err := c.decoder.Decode(text)
		var wrongType *json.UnmarshalTypeError
		if !errors.As(err, &wrongType) {
			if err != nil {
				c.add("", "Version", "%v", err)
			}
			return table
		}
		doc, parseErr := parse(text)
		if parseErr != nil {
			return table
		}
		at, ok := doc.valueAt(int(wrongType.Offset))
		if !ok {
			c.report(wrongType.Field, "is "+wrongType.Value+", which the field can't hold")
			return table
		}
		c.report(at.path, "is "+wrongType.Value+", which the field can't hold")
		text = doc.withoutValue(at)
	}
	return azurehitch.RoutingTable{}
}

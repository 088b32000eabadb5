// Package explain reads the structured logs of daemons and reports the outcomes of requests and
// their causes.
//
// # Usage
//
//	lines, err := explain.Read(file)
//	explain.WriteCauses(os.Stdout, explain.Causes(lines))
//	explain.WriteRequest(os.Stdout, lines, "9c41d07be2a35f68")
//	explain.WriteLeases(os.Stdout, lines)
//
// The logs of all hosts may be in one file or in several, in any order, and each line may have a
// prefix before its JSON. Lines that are not log lines are skipped and counted.
package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"time"

	"github.com/pkg/errors"
)

// maxLineBytes bounds the length of a line.
const maxLineBytes = 1 << 20

// requestEnded is the message of the line that a daemon logs at the end of each request.
const requestEnded = "request ended"

// Line is a log line. Durations are in milliseconds, as daemons log them.
type Line struct {
	Time    time.Time `json:"time"`
	Message string    `json:"message"`
	Route   string
	Status  int
	Reason  string
	// Account is the client account of the request; empty if it has none.
	Account string
	// Placed is how long the request waited for servers. FirstEvent is the time until the first event
	// of its stream; 0 if the response is no stream.
	Placed     float64
	FirstEvent float64
	// LongestPause is the longest time between two events of its stream.
	LongestPause float64
	// Took is the time from the arrival of the request to the end of the response.
	Took float64
	// Objective is the longest time until the response, or its first event, that counts as on time;
	// MaxPause is the longest allowed pause between two events. 0 means no limit.
	Objective float64
	MaxPause  float64
	// Attempts describes the attempts at servers, separated by "; ".
	Attempts string

	LeaseLine

	// text is the JSON of the line as it was read.
	text []byte
}

// Log holds the lines of one or more logs.
type Log struct {
	Lines []Line
	// Skipped is the number of lines that were not log lines.
	Skipped int
}

// Read reads a log until the end of the input. A line longer than maxLineBytes is an error.
func Read(r io.Reader) (Log, error) {
	var log Log
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		line, ok := parse(scanner.Bytes())
		if !ok {
			log.Skipped++
			continue
		}
		log.Lines = append(log.Lines, line)
	}
	return log, errors.Wrap(scanner.Err(), "read log")
}

// parse decodes the JSON of a log line. It returns false if the line contains no JSON or its JSON
// contains no time.
func parse(text []byte) (Line, bool) {
	begin := bytes.IndexByte(text, '{')
	if begin < 0 {
		return Line{}, false
	}
	var line Line
	if err := json.Unmarshal(text[begin:], &line); err != nil || line.Time.IsZero() {
		return Line{}, false
	}
	line.text = bytes.Clone(text[begin:])
	return line, true
}

// Merge concatenates logs.
func Merge(logs ...Log) Log {
	var all Log
	for _, l := range logs {
		all.Lines = append(all.Lines, l.Lines...)
		all.Skipped += l.Skipped
	}
	return all
}
